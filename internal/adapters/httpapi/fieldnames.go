package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// fieldNameChecker reads the tokens of a body and records the field names that occurred in
// each object that is still open.
type fieldNameChecker struct {
	body    []byte
	decoder *json.Decoder
	allowed map[string]bool
	stack   []frame
}

// frame is an open object or array. seen holds the field names that have occurred in an
// object; in an array it is nil.
type frame struct {
	seen map[string]bool
	// expectName is true when the next token of the object is a field name.
	expectName bool
}

// checkNames returns an error for the first field name that is not allowed or is repeated,
// for a body that is not an object, and for data after the object.
func checkNames(body []byte, allowed map[string]bool) error {
	c := &fieldNameChecker{body: body, decoder: json.NewDecoder(bytes.NewReader(body)), allowed: allowed}
	c.decoder.UseNumber()
	first, err := c.decoder.Token()
	if err != nil {
		return c.tokenFault(err)
	}
	if first != json.Delim('{') {
		return malformed(body, 0, "the body is not a JSON object")
	}
	c.push(first.(json.Delim))
	for len(c.stack) > 0 {
		token, err := c.decoder.Token()
		if err != nil {
			return c.tokenFault(err)
		}
		if err := c.checkToken(token); err != nil {
			return err
		}
	}
	end := c.decoder.InputOffset()
	if _, err := c.decoder.Token(); !errors.Is(err, io.EOF) {
		return malformed(body, end, "data after the JSON object")
	}
	return nil
}

func (c *fieldNameChecker) tokenFault(err error) error {
	return jsonFault(c.body, c.decoder.InputOffset(), err)
}

// checkToken processes one token inside the outermost object.
func (c *fieldNameChecker) checkToken(token json.Token) error {
	top := &c.stack[len(c.stack)-1]
	if name, ok := token.(string); ok && top.expectName {
		top.expectName = false
		return c.name(top, name)
	}
	delim, ok := token.(json.Delim)
	switch {
	case ok && (delim == '{' || delim == '['):
		if len(c.stack) == maxDepth {
			return malformed(c.body, c.decoder.InputOffset(), "the body is nested too deeply")
		}
		top.expectName = top.seen != nil
		c.push(delim)
	case ok:
		c.stack = c.stack[:len(c.stack)-1]
	default:
		top.expectName = top.seen != nil
	}
	return nil
}

func (c *fieldNameChecker) push(delim json.Delim) {
	if delim == '{' {
		c.stack = append(c.stack, frame{seen: map[string]bool{}, expectName: true})
	} else {
		c.stack = append(c.stack, frame{})
	}
}

// name records a field name of the innermost open object. It returns an error when the
// name is not allowed or is repeated.
func (c *fieldNameChecker) name(top *frame, name string) error {
	if !c.allowed[name] {
		return malformed(c.body, c.decoder.InputOffset(), fmt.Sprintf("unknown field %q", truncate(name)))
	}
	if top.seen[name] {
		return malformed(c.body, c.decoder.InputOffset(), fmt.Sprintf("field %q is repeated", name))
	}
	top.seen[name] = true
	return nil
}
