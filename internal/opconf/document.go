package opconf

import (
	"strings"
	"unicode/utf8"

	"github.com/tidwall/gjson"
)

// Names of the members of a document that the package reads.
const (
	versionMember  = "version"
	routesMember   = "routes"
	servicesMember = "services"
	limitsMember   = "limits"
)

// wholeDocument is the gjson path of the document itself.
const wholeDocument = "@this"

// emptyListValue is the JSON of a list without items.
const emptyListValue = "[]"

// maxNesting is how deep the values of a document may lie; deeper ones are refused before they cost a deep stack.
const maxNesting = 256

// document is a JSON object cut into its members, whose bytes are kept.
type document struct {
	text    string
	members []member
}

// member is one member of a document.
type member struct {
	name  string
	key   string // the name as the document writes it, with its quotes
	value string // the JSON of the value; of a list, any list, since its items say what it holds
	list  bool   // the value is a list
	items []item // items of a list
}

// item is one item of a list. Lists of things without names have items without names.
type item struct {
	name  string
	value string // the JSON of the item
	from  int    // place in the list of the configuration that it was taken from unchanged, or fresh
}

// fresh is the place of an item that no earlier configuration holds.
const fresh = -1

// readObject returns the JSON object that body consists of, and notes a fault where it is none.
func readObject(body []byte, found *faults) (gjson.Result, bool) {
	problem := unreadable(body)
	if problem != "" {
		found.add(wholeDocument, "%s; send the whole document again as one JSON object", problem)
		return gjson.Result{}, false
	}
	return gjson.ParseBytes(body), true
}

// unreadable says why body is not one JSON object, "" where it is.
func unreadable(body []byte) string {
	switch {
	case len(body) == 0:
		return "the body is empty"
	case !utf8.Valid(body):
		return "the body is not UTF-8"
	case nesting(body) > maxNesting:
		return "the body is nested too deeply"
	case !gjson.ValidBytes(body):
		return "the body is cut short or is not JSON"
	case !gjson.ParseBytes(body).IsObject():
		return "the body is not a JSON object"
	}
	return ""
}

// nesting returns how deep the brackets of a JSON text lie.
func nesting(body []byte) int {
	depth, deepest := 0, 0
	inString, escaped := false, false
	for _, char := range body {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped = char == '\\'
			inString = char != '"'
		case char == '"':
			inString = true
		case char == '{' || char == '[':
			depth++
			deepest = max(deepest, depth)
		case char == '}' || char == ']':
			depth--
		}
	}
	return deepest
}

// cut divides a JSON object into its members and notes members that appear twice.
func cut(object gjson.Result, found *faults) document {
	result := document{text: object.Raw}
	seen := make(map[string]bool)
	object.ForEach(func(key, value gjson.Result) bool {
		name := key.String()
		if seen[name] {
			found.add(escape(name), "appears twice; send it once")
			return true
		}
		seen[name] = true
		result.members = append(result.members, cutMember(name, key, value))
		return true
	})
	return result
}

// cutMember keeps one member and divides a list into its items.
func cutMember(name string, key, value gjson.Result) member {
	result := member{name: name, key: key.Raw, value: value.Raw, list: value.IsArray()}
	if result.list {
		result.items = cutItems(value)
	}
	return result
}

// cutItems divides a list into its items.
func cutItems(list gjson.Result) []item {
	var items []item
	list.ForEach(func(_, value gjson.Result) bool {
		items = append(items, item{name: itemName(value), value: value.Raw, from: fresh})
		return true
	})
	return items
}

// itemName returns the name of an item, "" where it has none.
func itemName(value gjson.Result) string {
	name := value.Get("name")
	if name.Type != gjson.String {
		return ""
	}
	return strings.Clone(name.Str)
}

// member returns the place of the named member, -1 where there is none.
func (d *document) member(name string) int {
	for place := range d.members {
		if d.members[place].name == name {
			return place
		}
	}
	return -1
}

// items returns the items of the named list.
func (d *document) items(name string) []item {
	place := d.member(name)
	if place < 0 {
		return nil
	}
	return d.members[place].items
}

// value returns the value of the named member, which does not exist where there is none.
func (d *document) value(name string) gjson.Result {
	place := d.member(name)
	if place < 0 {
		return gjson.Result{}
	}
	return gjson.Parse(d.members[place].value)
}

// escape writes a name such that a gjson path takes it literally.
func escape(name string) string {
	return gjson.Escape(name)
}
