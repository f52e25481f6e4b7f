package httpapi

import (
	"net/url"
	"strconv"
	"time"

	"catkinvalve/internal/api"
	"catkinvalve/internal/fault"
	"catkinvalve/internal/limits"
)

// maxPublishIDBytes limits publish IDs, because snapshots keep them for some time.
const maxPublishIDBytes = limits.MaxKeyBytes

func checkKey(key string) error {
	if limits.ValidKey(key) {
		return nil
	}
	return fault.New(fault.Malformed, "use 1 to 200 printable ASCII characters without spaces or slashes",
		"key %q is not valid", truncate(key))
}

func fieldFault(field, rule string) error {
	return fault.New(fault.Malformed, "correct the field "+field, "field %q %s", field, rule)
}

// checkSubmit validates the fields of a submission, as far as this is possible without the
// configuration.
func checkSubmit(r *api.SubmitRequest) error {
	if err := checkKey(r.Key); err != nil {
		return err
	}
	maxRunMS := limits.MaxRunTime.Milliseconds()
	switch {
	case r.Service == "" || !limits.ValidName(r.Service):
		return fieldFault("service", "must have 1 to 200 printable ASCII characters")
	case !limits.ValidName(r.Team):
		return fieldFault("team", "must have at most 200 printable ASCII characters")
	case r.Tasks < 0 || r.Tasks > limits.MaxTasks:
		return fieldFault("tasks", "must be between 0 and "+strconv.Itoa(limits.MaxTasks))
	case r.RunMS < 0 || r.RunMS > maxRunMS:
		return fieldFault("run_ms", "must be between 0 and "+strconv.FormatInt(maxRunMS, 10))
	case r.WaitMS < 0:
		return fieldFault("wait_ms", "must not be negative")
	case !validTime(r.Deadline):
		return fieldFault("deadline", "must be between the years 1970 and 9999")
	case !validTime(r.IssuedAt):
		return fieldFault("issued_at", "must be between the years 1970 and 9999")
	}
	return checkSize(r)
}

// validTime reports whether an optional time is missing or between the years 1970 and 9999.
func validTime(t *time.Time) bool {
	return t == nil || t.UnixMilli() > 0 && limits.ValidUnixMilli(t.UnixMilli())
}

func checkSize(r *api.SubmitRequest) error {
	if r.Size == nil {
		return nil
	}
	for _, amount := range r.Size.Vector() {
		if amount < 0 || amount > limits.MaxDimension {
			return fieldFault("size", "must have amounts between 0 and "+strconv.FormatInt(limits.MaxDimension, 10))
		}
	}
	return nil
}

func checkPublish(p *api.PublishRequest) error {
	switch {
	case !limits.ValidKey(p.PublishID):
		return fieldFault("publish_id", "must have 1 to "+strconv.Itoa(maxPublishIDBytes)+
			" printable ASCII characters without spaces or slashes")
	case !limits.ValidName(p.Author):
		return fieldFault("author", "must have at most 200 printable ASCII characters")
	case p.Text == "":
		return fieldFault("text", "must not be empty")
	}
	return nil
}

// queryWait parses wait_ms, the only query parameter of the API. Without it the wait is 0.
func queryWait(rawQuery string) (time.Duration, error) {
	values, err := url.ParseQuery(rawQuery)
	if err != nil {
		return 0, fault.Wrap(err, fault.Malformed, "encode the query correctly", "the query cannot be parsed")
	}
	for name, given := range values {
		if name != "wait_ms" || len(given) != 1 {
			return 0, fault.New(fault.Malformed, "use wait_ms at most once and no other parameter",
				"query parameter %q is unknown or repeated", truncate(name))
		}
	}
	if !values.Has("wait_ms") {
		return 0, nil
	}
	ms, err := strconv.ParseInt(values.Get("wait_ms"), 10, 64)
	if err != nil || ms < 0 {
		return 0, fault.New(fault.Malformed, "give wait_ms as a number of milliseconds",
			"query parameter wait_ms is %q", truncate(values.Get("wait_ms")))
	}
	return waitDuration(ms), nil
}

// waitDuration converts milliseconds to a duration. It limits them to MaxRunTime, so that
// the conversion cannot overflow.
func waitDuration(ms int64) time.Duration {
	return time.Duration(min(ms, limits.MaxRunTime.Milliseconds())) * time.Millisecond
}
