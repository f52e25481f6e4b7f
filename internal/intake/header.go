package intake

import "bytes"

const (
	// ShortHeaderBytes is the length of a header up to which ConnBytes suffices. It is the size of
	// the server's read buffer.
	ShortHeaderBytes = 4 << 10
	// bytesPerHeaderByte covers the buffer of a longer header, which grows, and its values.
	bytesPerHeaderByte = 3
	// shortHeaderLines is the number of lines up to which ConnBytes suffices, and headerLineBytes
	// is what each further one takes, however short it is.
	shortHeaderLines = 32
	headerLineBytes  = 160
)

// header counts what has arrived of the header of a request.
type header struct {
	bytes, lines int
	// lineBytes is the length of the unfinished line, without its end.
	lineBytes int
	// reserved is the memory reserved for the header.
	reserved int64
}

// add counts data and returns what follows the empty line at the end of the header.
func (h *header) add(data []byte) (rest []byte) {
	h.bytes += len(data)
	for len(data) > 0 {
		line, after, ended := bytes.Cut(data, lineEnd)
		h.lineBytes += len(bytes.TrimSuffix(line, []byte{'\r'}))
		if !ended {
			return nil
		}
		data = after
		if h.lineBytes == 0 && h.lines > 0 {
			return data
		}
		h.lines++
		h.lineBytes = 0
	}
	return nil
}

// lineEnd ends a line of a header.
var lineEnd = []byte{'\n'}

// cost returns the memory that the header takes in addition to ConnBytes.
func (h *header) cost() int64 {
	cost := int64(max(0, h.lines-shortHeaderLines) * headerLineBytes)
	if h.bytes > ShortHeaderBytes {
		cost += int64(bytesPerHeaderByte * h.bytes)
	}
	return cost
}

// buffered returns what the server's buffer may contain of the next header after it has read data,
// which follows the present header. Larger reads do not use the buffer.
func buffered(data []byte) header {
	if len(data) > ShortHeaderBytes {
		return header{}
	}
	return header{lines: bytes.Count(data, lineEnd)}
}
