package intakedrpc

import "fmt"

// MaxFrameBytes is the largest amount of data in one frame. A drpc stream divides its messages
// into frames of this size.
const MaxFrameBytes = 64 << 10

// FrameError means that a peer sent something that no daemon sends.
type FrameError struct{ problem string }

// Error implements the error interface.
func (e *FrameError) Error() string {
	return "the connection carries no calls of a daemon: " + e.problem + "; connect to the port for callers instead"
}

// Fields of a frame, in their order on the wire.
type field uint8

const (
	fieldControl field = iota
	fieldStream
	fieldMessage
	fieldLength
	fieldData
)

// doneBit of the control byte marks the last frame of a message.
const doneBit = 1 << 0

// varintBits is the number of bits that each byte of a varint adds, and varintMore marks a byte
// that is not its last.
const (
	varintBits  = 7
	varintMore  = 1 << varintBits
	maxVarint64 = 10 * varintBits
)

// scanner follows the frames of a drpc connection without keeping their data.
type scanner struct {
	field field
	// varint is the part of the present varint that was read, of shift bits.
	varint uint64
	shift  uint
	// done is set if the present frame is the last one of its message.
	done bool
	// rest is the data of the present frame that has not arrived.
	rest uint64
	// messageBytes is the data of the present message that has arrived.
	messageBytes int64
}

// next consumes data up to the end of the present message, and reports whether it has ended. Its
// error is a *FrameError.
func (s *scanner) next(data []byte) (rest []byte, ended bool, err error) {
	for len(data) > 0 {
		if s.field == fieldData {
			n := min(uint64(len(data)), s.rest)
			data = data[n:]
			s.rest -= n
			s.messageBytes += int64(n)
		} else {
			if err := s.headerByte(data[0]); err != nil {
				return nil, false, err
			}
			data = data[1:]
		}
		if s.field == fieldData && s.rest == 0 {
			s.field = fieldControl
			if s.done {
				return data, true, nil
			}
		}
	}
	return nil, false, nil
}

// headerByte consumes one byte before the data of a frame.
func (s *scanner) headerByte(b byte) error {
	if s.field == fieldControl {
		s.done = b&doneBit != 0
		s.field++
		return nil
	}
	if s.shift >= maxVarint64 {
		return &FrameError{"a number in the header of a frame does not end"}
	}
	s.varint |= uint64(b&^varintMore) << s.shift
	s.shift += varintBits
	if b&varintMore != 0 {
		return nil
	}
	if s.field == fieldLength {
		s.rest = s.varint
	}
	s.varint, s.shift = 0, 0
	s.field++
	if s.rest > MaxFrameBytes {
		return &FrameError{fmt.Sprintf("a frame has %d bytes, the limit is %d", s.rest, MaxFrameBytes)}
	}
	return nil
}
