package peerrpc

import (
	"reflect"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"storj.io/drpc"
)

const (
	// elementBytes is what an element of a list takes besides its data: a pointer, or the header of
	// a string or of bytes.
	elementBytes = 24
	// packedBytes is what a number in a packed list takes at most.
	packedBytes = 8
)

// memoryReserver is a connection on which the memory of a call can be reserved.
type memoryReserver interface {
	// Reserve reserves n bytes until the end of the call. It returns an error if there is no room.
	Reserve(n int64) error
}

// limitedStream reserves memory for what its messages decode to before it decodes them.
type limitedStream struct {
	drpc.Stream
	conn memoryReserver
}

// MsgRecv implements drpc.Stream.
func (s *limitedStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(msg, &limitedEncoding{Encoding: enc, conn: s.conn})
}

// limitedEncoding is the encoding of a limitedStream.
type limitedEncoding struct {
	drpc.Encoding
	conn memoryReserver
}

// Unmarshal implements drpc.Encoding.
func (e *limitedEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	if m, ok := msg.(proto.Message); ok {
		if err := e.conn.Reserve(decodedBytes(buf, m.ProtoReflect().Descriptor())); err != nil {
			return err
		}
	}
	return e.Encoding.Unmarshal(buf, msg)
}

// decodedBytes estimates the memory that an encoded message takes once it is decoded. Of a malformed
// message it counts what comes before the mistake.
func decodedBytes(data []byte, d protoreflect.MessageDescriptor) int64 {
	total := structBytes(d) + int64(len(data))
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return total
		}
		data = data[n:]
		n = protowire.ConsumeFieldValue(number, kind, data)
		if n < 0 {
			return total
		}
		if field := d.Fields().ByNumber(number); field != nil && kind == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(data)
			total += fieldBytes(value, field)
		}
		data = data[n:]
	}
	return total
}

// fieldBytes returns what a field takes besides its encoded size.
func fieldBytes(value []byte, field protoreflect.FieldDescriptor) int64 {
	switch {
	case field.Message() != nil:
		return elementBytes + decodedBytes(value, field.Message())
	case field.IsPacked():
		return packedBytes * int64(len(value))
	case field.IsList():
		return elementBytes
	}
	return 0
}

// structSizes contains the sizes of the Go types of messages, by protoreflect.FullName.
var structSizes sync.Map

// structBytes returns the size of the Go type of a message.
func structBytes(d protoreflect.MessageDescriptor) int64 {
	if size, ok := structSizes.Load(d.FullName()); ok {
		return size.(int64)
	}
	t, err := protoregistry.GlobalTypes.FindMessageByName(d.FullName())
	if err != nil {
		return elementBytes // An entry of a map, which has no type of its own.
	}
	size := int64(reflect.TypeOf(t.Zero().Interface()).Elem().Size())
	structSizes.Store(d.FullName(), size)
	return size
}
