package text

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// ChangeKind is the kind of a difference between two texts.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
	// ShareChanged is a change of a service's new_percent.
	ShareChanged ChangeKind = "share_moved"
)

// Change is one difference between two texts.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Item is "service NAME", "team NAME", "data centre NAME" or "cell".
	Item string `json:"item"`
	// Field, From and To are empty if a whole item was added or removed. From and To
	// are JSON, or "unset" if the field is absent.
	Field string `json:"field,omitempty"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// String describes the change in one line.
func (c Change) String() string {
	switch c.Kind {
	case Added, Removed:
		return fmt.Sprintf("%s: %s", c.Item, c.Kind)
	case ShareChanged:
		return fmt.Sprintf("%s: share on the new system moves from %s%% to %s%%", c.Item, c.From, c.To)
	}
	return fmt.Sprintf("%s: %s changes from %s to %s", c.Item, c.Field, c.From, c.To)
}

// Diff returns the differences between two parsed texts, sorted: the cell first,
// then data centres, services and teams by name. A nil text counts as empty.
func Diff(old, new *Config) []Change {
	before, after := itemsOf(old), itemsOf(new)
	names := maps.Clone(before)
	maps.Copy(names, after)
	var changes []Change
	for _, item := range slices.Sorted(maps.Keys(names)) {
		changes = append(changes, diffItem(item, before[item], after[item])...)
	}
	return changes
}

// fieldValues maps the path of each field of an item to its value as JSON.
type fieldValues map[string]string

func diffItem(item string, before, after fieldValues) []Change {
	switch {
	case before == nil:
		return []Change{{Kind: Added, Item: item}}
	case after == nil:
		return []Change{{Kind: Removed, Item: item}}
	}
	names := maps.Clone(before)
	maps.Copy(names, after)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if before[name] == after[name] {
			continue
		}
		kind := Changed
		if name == "new_percent" {
			kind = ShareChanged
		}
		changes = append(changes, Change{Kind: kind, Item: item, Field: name,
			From: cmp.Or(before[name], "unset"), To: cmp.Or(after[name], "unset")})
	}
	return changes
}

// itemsOf returns the fields of each item by the name of the item, as in Change.Item.
// The item "cell" has the fields of the text outside of its lists.
func itemsOf(cfg *Config) map[string]fieldValues {
	items := map[string]fieldValues{}
	if cfg == nil {
		return items
	}
	for _, dc := range cfg.DataCentres {
		items["data centre "+string(dc.Name)] = fieldsOf(dc)
	}
	for _, t := range cfg.Teams {
		items["team "+t.Name] = fieldsOf(t)
	}
	for _, s := range cfg.Services {
		items["service "+s.Name] = fieldsOf(s)
	}
	cell := *cfg
	cell.DataCentres, cell.Teams, cell.Services = nil, nil, nil
	items["cell"] = fieldsOf(cell)
	return items
}

// fieldsOf flattens the JSON form of an item, so that Diff covers fields that are
// added to the text later.
func fieldsOf(item any) fieldValues {
	data, err := json.Marshal(item)
	if err != nil {
		return fieldValues{"": err.Error()}
	}
	out := fieldValues{}
	flatten(out, "", data)
	return out
}

// flatten adds the value at path to out: an object by its fields, any other value,
// including an array, as one JSON text.
func flatten(out fieldValues, path string, data json.RawMessage) {
	var object map[string]json.RawMessage
	if data[0] != '{' || json.Unmarshal(data, &object) != nil {
		out[path] = string(data)
		return
	}
	for name, value := range object {
		if path != "" {
			name = path + "." + name
		}
		flatten(out, name, value)
	}
}
