package untrusted

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against limits that a single request of legal size reaches: a head of maxHeadBytes and a body of maxBodyBytes, with
// and without a declared length.
func TestLegalRequests(t *testing.T) {
	s := newSystem(t)
	for _, chunked := range []bool{false, true} {
		req, err := http.NewRequest(http.MethodPost, "http://"+s.entry.addr(routesPort)+"/once/x", strings.NewReader(strings.Repeat("x", maxBodyBytes)))
		check(t, err)
		if chunked {
			req.ContentLength = -1
			req.Body = io.NopCloser(req.Body)
		}
		req.Host = "untrusted.example"
		req.Header.Set("Request-Id", "legal")
		// The rest of the head, which the client writes, has about 200 bytes.
		req.Header.Set("Filler", strings.Repeat("x", maxHeadBytes-300))
		if body, err := s.do(req, http.StatusOK); err != nil || body != "answer" {
			t.Errorf("chunked %t: %q, %v", chunked, body, err)
		}
	}
	s.checkHeld(t)
}

// Guards against a time limit that closes a connection within the idle time that callers keep it for: four fifths of
// IdleTimeoutMs, and against one for a head that is sent slowly, but within HeaderTimeoutMs.
func TestLegalPauses(t *testing.T) {
	s := newSystem(t)
	c := s.dial(s.entry.addr(routesPort))
	if c == nil {
		t.Fatal("cannot connect")
	}
	for i := range 2 {
		if i > 0 {
			time.Sleep(12 * time.Second)
		}
		text := head(c, "Content-Length: 1") + "\r\n"
		_, err := io.WriteString(c, text[:20])
		check(t, err)
		time.Sleep(2500 * time.Millisecond)
		_, err = io.WriteString(c, text[20:])
		check(t, err)
		time.Sleep(500 * time.Millisecond)
		_, err = io.WriteString(c, "x")
		check(t, err)
		check(t, c.SetReadDeadline(time.Now().Add(answerTimeout)))
		buffer := make([]byte, 4096)
		n, err := c.Read(buffer)
		check(t, err)
		if !strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200") {
			t.Fatalf("%.200s", buffer[:n])
		}
	}
}
