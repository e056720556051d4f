package piece

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
)

// The label of the attempts metric has few values, whatever the error's text: addresses in it made a series for each
// endpoint.
func TestResultLabel(t *testing.T) {
	is := is.New(t)
	reset := &net.OpError{Op: "read", Net: "tcp", Addr: &net.TCPAddr{IP: net.IPv4(10, 1, 0, 9), Port: 8080}, Err: errors.New("connection reset by peer")}
	is.Equal(resultLabel(Response{}, nil), "done")
	is.Equal(resultLabel(Response{NotRun: true}, nil), "not_run")
	is.Equal(resultLabel(Response{}, reset), "failed")
	is.Equal(resultLabel(Response{}, &unsentError{reset}), "unsent")
}
