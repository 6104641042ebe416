package opconf

import (
	"strings"

	"github.com/tidwall/gjson"
)

// Members of a change.
const (
	addMember    = "add"
	removeMember = "remove"
)

// Change adds, replaces and removes named items of a configuration's lists.
type Change struct {
	Version uint64 // version of the configuration that it makes

	version string // the version as the change writes it
	edits   []edit // one for each list that it names, in the order of their first mention
}

// edit is what a change does to one list. Items are removed first, so one that is also added stays.
type edit struct {
	list   string
	add    []item
	remove []string
}

// Lists returns the names of the lists that the change touches.
func (c *Change) Lists() []string {
	names := make([]string, 0, len(c.edits))
	for _, edit := range c.edits {
		names = append(names, edit.list)
	}
	return names
}

// ParseChange reads a change. It fails with Error, whose cause is an *InvalidError with all faults. What the added items
// say is checked by Apply.
func ParseChange(body []byte) (*Change, error) {
	found := &faults{}
	object, ok := readObject(body, found)
	if !ok {
		return nil, found.err()
	}
	change := &Change{Version: readVersion(object, found), version: object.Get(versionMember).Raw}
	change.readEdits(object, addMember, found, change.readAdditions)
	change.readEdits(object, removeMember, found, change.readRemovals)
	if err := found.err(); err != nil {
		return nil, err
	}
	return change, nil
}

// readEdits calls read for every list that a member of the change names.
func (c *Change) readEdits(
	change gjson.Result, name string, found *faults, read func(list string, values gjson.Result, path string, found *faults),
) {
	lists := change.Get(name)
	if !lists.Exists() || lists.Type == gjson.Null {
		return
	}
	if !lists.IsObject() {
		found.add(name, "is not a JSON object; give lists by their names")
		return
	}
	lists.ForEach(func(key, values gjson.Result) bool {
		path := name + "." + escape(key.String())
		if values.Type == gjson.Null {
			return true
		}
		if !values.IsArray() {
			found.add(path, "is not a list; give one")
			return true
		}
		read(key.String(), values, path, found)
		return true
	})
}

// readAdditions reads the items to add to a list.
func (c *Change) readAdditions(list string, values gjson.Result, path string, found *faults) {
	items := cutItems(values)
	for _, entry := range items {
		if entry.name == "" {
			found.add(path, "has an item without a name; name every item that is added")
			return
		}
	}
	edit := c.edit(list)
	edit.add = append(edit.add, items...)
}

// readRemovals reads the names of the items to remove from a list.
func (c *Change) readRemovals(list string, values gjson.Result, path string, found *faults) {
	edit := c.edit(list)
	for _, name := range values.Array() {
		if name.Type != gjson.String {
			found.add(path, "has an entry that is not a name; give the names of items as strings")
			return
		}
		edit.remove = append(edit.remove, strings.Clone(name.Str))
	}
}

// edit returns the edit of the named list, which is added where there is none.
func (c *Change) edit(list string) *edit {
	for index := range c.edits {
		if c.edits[index].list == list {
			return &c.edits[index]
		}
	}
	c.edits = append(c.edits, edit{list: list})
	return &c.edits[len(c.edits)-1]
}
