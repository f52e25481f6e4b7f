package intakehttp

import (
	"errors"
	"io"
	"net/http"
	"runtime"
	"time"

	"catkinvalve/internal/intake"
)

const (
	// firstBufferBytes is the first size of a body's buffer, and bufferGrowth the factor by which
	// it grows.
	firstBufferBytes = 4 << 10
	bufferGrowth     = 4
	// smallBodyBytes is the size of a body that is read to its end although its request is
	// refused, so that the connection can be used again.
	smallBodyBytes = firstBufferBytes
	// discardTimeout limits that.
	discardTimeout = time.Second
	// smallAnswerBytes is the size of an answer that fits into the buffers of its connection.
	smallAnswerBytes = 4 << 10
)

// decodeSlots limits the large bodies that are decoded at the same time, since decoding needs
// more memory than is reserved for a body.
var decodeSlots = make(chan struct{}, runtime.NumCPU())

// Body is a request body in memory for which memory is reserved.
type Body struct {
	Data []byte
	conn *conn
	// reserved is the memory reserved for the body.
	reserved int64
}

// TimeoutError means that a body was not complete at the caller's deadline.
type TimeoutError struct{ cause error }

// Error implements the error interface.
func (e *TimeoutError) Error() string {
	return "the body is not complete at the deadline; send it faster, or state a later deadline"
}

// Unwrap returns the error of the read.
func (e *TimeoutError) Unwrap() error { return e.cause }

// ReadBody reads the body of a request, at most limit bytes of it, until a deadline. Besides
// errors of reading it returns *intake.RefusedError, *TimeoutError and *http.MaxBytesError. After
// an error the rest of the body is not read, and the connection is closed after the answer.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*Body, error) {
	if r.ContentLength > limit {
		AbandonBody(w, r)
		return nil, &http.MaxBytesError{Limit: limit}
	}
	b := &Body{}
	b.conn, _ = r.Context().Value(connKey{}).(*conn)
	err := b.read(w, r, limit, deadline)
	if err != nil {
		AbandonBody(w, r)
		return nil, err
	}
	return b, nil
}

// read reads the body within the limits and restores the connection's deadline.
func (b *Body) read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) error {
	expected := limit
	if r.ContentLength >= 0 {
		expected = r.ContentLength
	}
	control := http.NewResponseController(w)
	// Test servers may not support deadlines.
	_ = control.SetReadDeadline(deadline)
	if b.conn != nil {
		b.conn.Client.StartBody(time.Now(), deadline, expected)
	}
	readErr := b.fill(http.MaxBytesReader(w, r.Body, limit), expected)
	if b.conn != nil {
		if err := b.conn.Client.EndBody(time.Now(), r.ContentLength); err != nil {
			return err
		}
	}
	var timeout interface{ Timeout() bool }
	if errors.As(readErr, &timeout) && timeout.Timeout() {
		return &TimeoutError{readErr}
	}
	_ = control.SetReadDeadline(time.Time{})
	return readErr
}

// fill reads all of the body into a buffer that grows with what has arrived.
func (b *Body) fill(body io.Reader, expected int64) error {
	size := min(expected, firstBufferBytes)
	if err := b.reserve(size); err != nil {
		return err
	}
	b.Data = make([]byte, 0, size)
	for {
		if len(b.Data) == cap(b.Data) {
			ended, err := b.grow(body, expected)
			if ended || err != nil {
				return err
			}
		}
		n, err := body.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow enlarges the full buffer if there is another byte in the body, and reports whether there is
// none.
func (b *Body) grow(body io.Reader, expected int64) (ended bool, err error) {
	var next [1]byte
	n, err := io.ReadFull(body, next[:])
	if n == 0 {
		if err == io.EOF {
			return true, nil
		}
		return false, err
	}
	old := int64(cap(b.Data))
	size := max(min(old*bufferGrowth, expected), old+1)
	if err := b.reserve(size - old); err != nil {
		return false, err
	}
	data := make([]byte, len(b.Data), size)
	copy(data, b.Data)
	b.Data = append(data, next[0])
	return false, nil
}

// reserve reserves the memory for n bytes of body.
func (b *Body) reserve(n int64) error {
	if b.conn == nil {
		return nil
	}
	if err := b.conn.Client.Grow(time.Now(), intake.BytesPerBodyByte*n); err != nil {
		b.conn.Limited()
		return err
	}
	b.reserved += intake.BytesPerBodyByte * n
	return nil
}

// Decode calls decode with the body, and then drops the body. The function returns the size of
// what it has decoded, for which memory remains reserved until the end of the request.
func (b *Body) Decode(decode func(data []byte) (size int64)) {
	if len(b.Data) > smallBodyBytes {
		decodeSlots <- struct{}{}
		defer func() { <-decodeSlots }()
	}
	size := decode(b.Data)
	b.Data = nil
	if b.conn != nil && size < b.reserved {
		b.conn.Client.Shrink(b.reserved - size)
	}
}

// AbandonBody makes the server close the connection after the answer, without reading the rest of
// the body.
func AbandonBody(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.abandoned.Store(true)
		c.Client.Abandon()
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}

// DiscardBody prepares the answer to a request whose body is not used. The rest of a small body is
// read; otherwise the connection is closed after the answer.
func DiscardBody(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.ContentLength == 0:
	case r.ContentLength > 0 && r.ContentLength <= smallBodyBytes:
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	default:
		AbandonBody(w, r)
	}
}

// ReserveAnswer reserves memory for an answer of n bytes until the end of the request. It returns a
// *intake.RefusedError if there is no room.
func ReserveAnswer(r *http.Request, n int) error {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || n <= smallAnswerBytes {
		return nil
	}
	if err := c.Client.GrowAnswer(time.Now(), int64(n)); err != nil {
		c.Limited()
		return err
	}
	return nil
}
