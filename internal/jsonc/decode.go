package jsonc

import (
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

var durationType = reflect.TypeFor[time.Duration]()

// Decode stores the document in the struct that dst points to and reports
// unknown fields, duplicate fields and wrong types. Fields that are absent from
// the file keep their value. It does nothing if the document has problems.
// Supported are structs, slices, strings, booleans, integers and durations,
// which are written as strings such as "500ms"; it panics on other field types.
func (d *Document) Decode(dst any) {
	if len(d.problems) > 0 {
		return
	}
	d.decodeValue("", &d.root, reflect.ValueOf(dst).Elem())
}

func (d *Document) decodeValue(path string, v *hujson.Value, dst reflect.Value) {
	d.positions[path] = v.StartOffset
	switch {
	case dst.Type() == durationType:
		d.decodeDuration(path, v, dst)
	case dst.Kind() == reflect.Struct:
		d.decodeObject(path, v, dst)
	case dst.Kind() == reflect.Slice:
		d.decodeArray(path, v, dst)
	default:
		d.decodeLiteral(path, v, dst)
	}
}

func (d *Document) decodeObject(path string, v *hujson.Value, dst reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.reportWrongType(path, v, "an object")
		return
	}
	fields := fieldsByName(dst)
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		field, known := fields[name]
		switch {
		case seen[name]:
			d.report(m.Name.StartOffset, "keep one of the two", "field %q is stated twice", name)
		case !known:
			d.report(m.Name.StartOffset, "use one of "+strings.Join(slices.Sorted(maps.Keys(fields)), ", "), "unknown field %q", name)
		default:
			d.decodeValue(FieldPath(path, name), &m.Value, field)
		}
		seen[name] = true
	}
}

func (d *Document) decodeArray(path string, v *hujson.Value, dst reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.reportWrongType(path, v, "a list")
		return
	}
	if len(arr.Elements) > MaxElements {
		d.markInvalid(path)
		d.report(v.StartOffset, "split the content", "%s has %d elements, more than the limit of %d", describePath(path), len(arr.Elements), MaxElements)
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements)))
	for i := range arr.Elements {
		d.decodeValue(ElementPath(path, i), &arr.Elements[i], dst.Index(i))
	}
}

func (d *Document) decodeLiteral(path string, v *hujson.Value, dst reflect.Value) {
	lit, _ := v.Value.(hujson.Literal)
	kind := v.Value.Kind()
	switch dst.Kind() {
	case reflect.String:
		if kind != '"' {
			d.reportWrongType(path, v, "a string")
			return
		}
		dst.SetString(lit.String())
	case reflect.Bool:
		if kind != 't' && kind != 'f' {
			d.reportWrongType(path, v, "true or false")
			return
		}
		dst.SetBool(kind == 't')
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(string(lit), 10, 64)
		if kind != '0' || err != nil {
			d.reportWrongType(path, v, "a whole number of at most 64 bits")
			return
		}
		dst.SetInt(n)
	default:
		panic("jsonc: unsupported type " + dst.Type().String())
	}
}

func (d *Document) decodeDuration(path string, v *hujson.Value, dst reflect.Value) {
	lit, _ := v.Value.(hujson.Literal)
	duration, err := time.ParseDuration(lit.String())
	if v.Value.Kind() != '"' || err != nil {
		d.reportWrongType(path, v, `a duration in quotes such as "500ms" or "3s"`)
		return
	}
	dst.SetInt(int64(duration))
}

func (d *Document) reportWrongType(path string, v *hujson.Value, want string) {
	d.markInvalid(path)
	d.report(v.StartOffset, "write "+want, "%s is %s", describePath(path), describeValue(v))
}

func describePath(path string) string {
	if path == "" {
		return "the document"
	}
	return path
}

func describeValue(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	}
	const maxShown = 40 // bytes of a literal that are shown in a message
	text := string(v.Value.(hujson.Literal))
	if len(text) > maxShown {
		text = strings.ToValidUTF8(text[:maxShown], "") + "..."
	}
	return text
}

func fieldsByName(dst reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range dst.NumField() {
		name, _, _ := strings.Cut(dst.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = dst.Field(i)
		}
	}
	return fields
}
