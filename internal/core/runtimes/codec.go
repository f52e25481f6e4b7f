package runtimes

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Format is the version of the encoded form.
const Format = 1

const (
	checksumBytes = 8
	// sampleBytes are those of estimate, time and a flag.
	sampleBytes = 5
	// windowBytes is the maximum size of an encoded window, with its length.
	windowBytes = 1 + windowRuns*sampleBytes
	// groupBytes is the maximum size of an encoded group: its window, and the length of the tenant's
	// name, the name, flags, size, width and image.
	groupBytes = windowBytes + 1 + maxTenantBytes + 3 + 4
	// MaxEncodedBytes limits the encoded form of a queue.
	MaxEncodedBytes = checksumBytes + windowBytes + 1 + maxGroups*groupBytes
)

// Flags of an encoded group.
const (
	flagGang = 1 << iota
	flagEstimated
	flagAnyShape
	knownFlags = flagGang | flagEstimated | flagAnyShape
)

// DamagedError describes why an encoded model cannot be used.
type DamagedError struct{ Detail string }

// Error implements the error interface.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("run times are damaged: %s; they are learned anew", e.Detail)
}

// Unsaved returns the number of runs of a queue since the last Encode.
func (m *Model) Unsaved(queue string) int {
	if q := m.queues[queue]; q != nil {
		return q.unsaved
	}
	return 0
}

// Queues returns the names of the queues with runs, in order.
func (m *Model) Queues() []string { return slices.Sorted(maps.Keys(m.queues)) }

// Drop removes a queue.
func (m *Model) Drop(queue string) { delete(m.queues, queue) }

// Encode returns what is known of a queue, in at most MaxEncodedBytes; nil if nothing is.
func (m *Model) Encode(queue string) []byte {
	q := m.queues[queue]
	if q == nil {
		return nil
	}
	q.unsaved = 0
	out := make([]byte, checksumBytes)
	out = q.all.encode(out)
	out = append(out, byte(len(q.groups)))
	keys := slices.SortedFunc(maps.Keys(q.groups), compareGroups)
	for _, key := range keys {
		out = append(append(out, byte(len(key.tenant))), key.tenant...)
		out = append(out, key.flags(), key.shape.Size, key.shape.Width)
		out = binary.LittleEndian.AppendUint32(out, key.shape.Image)
		out = q.groups[key].runs.encode(out)
	}
	binary.LittleEndian.PutUint64(out, xxhash.Sum64(out[checksumBytes:]))
	return out
}

func compareGroups(a, b groupKey) int {
	return cmp.Or(cmp.Compare(a.tenant, b.tenant), cmp.Compare(a.flags(), b.flags()), cmp.Compare(a.shape.Size, b.shape.Size),
		cmp.Compare(a.shape.Width, b.shape.Width), cmp.Compare(a.shape.Image, b.shape.Image))
}

func (k groupKey) flags() byte {
	flags := byte(0)
	if k.shape.Gang {
		flags |= flagGang
	}
	if k.shape.Estimated {
		flags |= flagEstimated
	}
	if k.anyShape {
		flags |= flagAnyShape
	}
	return flags
}

// encode appends the runs to out, the oldest first.
func (w *runWindow) encode(out []byte) []byte {
	out = append(out, byte(len(w.samples)))
	for age := len(w.samples) - 1; age >= 0; age-- {
		s := w.at(age)
		out = binary.LittleEndian.AppendUint16(out, uint16(s.estimate))
		out = binary.LittleEndian.AppendUint16(out, uint16(s.time))
		out = append(out, boolByte(s.censored))
	}
	return out
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// Restore replaces what is known of a queue by an encoded form. Its errors are *DamagedError; the
// queue is unchanged then.
func (m *Model) Restore(name string, data []byte) error {
	if len(m.queues) >= maxQueues && m.queues[name] == nil {
		return &DamagedError{"there are too many queues"}
	}
	q, err := decode(data)
	if err != nil {
		return err
	}
	m.queues[name] = q
	return nil
}

// decode returns the queue with an encoded form. Its errors are *DamagedError.
func decode(data []byte) (*queue, error) {
	if len(data) < checksumBytes || len(data) > MaxEncodedBytes {
		return nil, &DamagedError{fmt.Sprintf("%d bytes", len(data))}
	}
	body := data[checksumBytes:]
	if binary.LittleEndian.Uint64(data) != xxhash.Sum64(body) {
		return nil, &DamagedError{"wrong checksum"}
	}
	return decodeBody(body)
}

// decodeBody returns the queue with an encoded form of which the checksum is right.
func decodeBody(body []byte) (*queue, error) {
	d := decoder{bytes.NewBuffer(body), nil}
	q := newQueue()
	q.all.restore(d.samples(), defaultSlope)
	groups := int(d.number(maxGroups))
	for range groups {
		key := d.group()
		g := &group{}
		g.runs.restore(d.samples(), q.all.curve.slope)
		q.groups[key] = g
	}
	switch {
	case d.err != nil:
		return nil, d.err
	case d.rest.Len() > 0:
		return nil, &DamagedError{"data after the end"}
	case len(q.groups) != groups:
		return nil, &DamagedError{"a group is there twice"}
	}
	for key, g := range q.groups {
		if key.anyShape {
			g.refines = q.refines(key, g)
		}
	}
	for key, g := range q.groups {
		g.refines = q.refines(key, g)
	}
	q.version = 1
	return q, nil
}

// restore sets the runs, the oldest first.
func (w *runWindow) restore(samples []sample, priorSlope float64) {
	w.samples = samples
	w.refresh(priorSlope)
}

// decoder reads an encoded queue. After an error it returns zeros.
type decoder struct {
	rest *bytes.Buffer
	err  error
}

// bytes returns the next n bytes.
func (d *decoder) bytes(n int) []byte {
	b := d.rest.Next(n)
	if len(b) < n {
		d.err = &DamagedError{"it is too short"}
		return make([]byte, n)
	}
	return b
}

// number returns the next byte, which must not be above limit.
func (d *decoder) number(limit byte) byte {
	n := d.bytes(1)[0]
	if n > limit {
		d.err = &DamagedError{fmt.Sprintf("%d where at most %d is possible", n, limit)}
		return 0
	}
	return n
}

func (d *decoder) samples() []sample {
	out := make([]sample, d.number(windowRuns))
	for i := range out {
		b := d.bytes(sampleBytes - 1)
		out[i] = sample{int16(binary.LittleEndian.Uint16(b)), int16(binary.LittleEndian.Uint16(b[2:])), d.number(1) == 1}
	}
	return out
}

func (d *decoder) group() groupKey {
	key := groupKey{tenant: string(d.bytes(int(d.number(maxTenantBytes))))}
	flags := d.number(knownFlags)
	key.shape = Shape{Gang: flags&flagGang != 0, Estimated: flags&flagEstimated != 0, Size: d.number(255), Width: d.number(255)}
	key.shape.Image = binary.LittleEndian.Uint32(d.bytes(4))
	key.anyShape = flags&flagAnyShape != 0
	return key
}
