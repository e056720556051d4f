package connection

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/textproto"

	"godwitplank/head"
)

// Transport sends requests with net/http and treats their responses like those of a Pool: a malformed one is a *head.Error, and one
// that ends with its connection is whole only if that ended in order. Set Base before the first use.
type Transport struct {
	// Base opens its connections with DialContext of this package.
	Base *http.Transport
}

// RoundTrip sends a request and returns the checked response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(r)
	var unreadable textproto.ProtocolError
	switch {
	case errors.As(err, &unreadable):
		return nil, &head.Error{Part: "the head", Text: unreadable.Error(), Reason: reasonUnreadable}
	case err != nil:
		return nil, err
	}
	if err := CheckResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// DialContext returns the DialContext of an http.Transport that opens its connections with a dialer.
func DialContext(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		s, err := dial(ctx, d, network, addr)
		if err != nil {
			return nil, err
		}
		return s, nil
	}
}
