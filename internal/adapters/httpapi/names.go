package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// nameChecker walks the tokens of a body and keeps the names that each open
// object has used so far.
type nameChecker struct {
	body    []byte
	decoder *json.Decoder
	allowed map[string]bool
	open    []frame
}

// frame is an open object or array. A nil seen marks an array.
type frame struct {
	seen map[string]bool
	// wantName is true when the next token of an object is a field name.
	wantName bool
}

// checkNames reports the first field name that is not allowed or repeated, a
// body that is not one object, and data after it.
func checkNames(body []byte, allowed map[string]bool) error {
	c := &nameChecker{body: body, decoder: json.NewDecoder(bytes.NewReader(body)), allowed: allowed}
	c.decoder.UseNumber()
	first, err := c.decoder.Token()
	if err != nil {
		return c.tokenFault(err)
	}
	if first != json.Delim('{') {
		return malformed(body, 0, "the body is not a JSON object")
	}
	c.push(first.(json.Delim))
	for len(c.open) > 0 {
		token, err := c.decoder.Token()
		if err != nil {
			return c.tokenFault(err)
		}
		if err := c.next(token); err != nil {
			return err
		}
	}
	end := c.decoder.InputOffset()
	if _, err := c.decoder.Token(); !errors.Is(err, io.EOF) {
		return malformed(body, end, "data after the JSON object")
	}
	return nil
}

func (c *nameChecker) tokenFault(err error) error {
	return decodeFault(c.body, c.decoder.InputOffset(), err)
}

// next takes one token inside the outermost object.
func (c *nameChecker) next(token json.Token) error {
	top := &c.open[len(c.open)-1]
	if name, ok := token.(string); ok && top.wantName {
		top.wantName = false
		return c.name(top, name)
	}
	delim, ok := token.(json.Delim)
	switch {
	case ok && (delim == '{' || delim == '['):
		if len(c.open) == maxDepth {
			return malformed(c.body, c.decoder.InputOffset(), "the body is nested too deeply")
		}
		top.wantName = top.seen != nil
		c.push(delim)
	case ok:
		c.open = c.open[:len(c.open)-1]
	default:
		top.wantName = top.seen != nil
	}
	return nil
}

func (c *nameChecker) push(delim json.Delim) {
	if delim == '{' {
		c.open = append(c.open, frame{seen: map[string]bool{}, wantName: true})
	} else {
		c.open = append(c.open, frame{})
	}
}

func (c *nameChecker) name(top *frame, name string) error {
	if !c.allowed[name] {
		return malformed(c.body, c.decoder.InputOffset(), fmt.Sprintf("unknown field %q", clip(name)))
	}
	if top.seen[name] {
		return malformed(c.body, c.decoder.InputOffset(), fmt.Sprintf("field %q is repeated", name))
	}
	top.seen[name] = true
	return nil
}
