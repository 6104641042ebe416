package opconf

import (
	"encoding/json"
	"slices"
	"strings"
)

// Apply returns the configuration that a change makes of base, which stays as it is; a nil base has no items. It fails
// with Error, whose cause is an *InvalidError with all faults of the result. A name to remove that base does not have is
// no fault. Whether the version rises is for the caller to check.
func Apply(base *Configuration, change *Change) (*Configuration, error) {
	found := &faults{}
	members := startMembers(base)
	members = setVersion(members, change.version)
	for index := range change.edits {
		members = editMember(members, &change.edits[index], found)
	}
	if err := found.err(); err != nil {
		return nil, err
	}
	return build(assemble(members), base, found)
}

// startMembers returns the members of base, with their items marked as unchanged.
func startMembers(base *Configuration) []member {
	if base == nil {
		return []member{newList(routesMember), newList(servicesMember)}
	}
	members := slices.Clone(base.document.members)
	for index := range members {
		members[index].items = unchanged(members[index].items)
	}
	return members
}

// newList returns a list without items.
func newList(name string) member {
	key, _ := json.Marshal(name) // a string always has a JSON form
	return member{name: name, key: string(key), value: emptyListValue, list: true}
}

// unchanged returns a copy of items that are marked as taken from their present places.
func unchanged(items []item) []item {
	result := slices.Clone(items)
	for place := range result {
		result[place].from = place
	}
	return result
}

// setVersion returns members with the given version.
func setVersion(members []member, version string) []member {
	for index := range members {
		if members[index].name == versionMember {
			members[index].value = version
			return members
		}
	}
	first := member{name: versionMember, key: `"` + versionMember + `"`, value: version}
	return slices.Insert(members, 0, first)
}

// editMember applies an edit to the list that it names, which is added where there is none.
func editMember(members []member, edit *edit, found *faults) []member {
	index := slices.IndexFunc(members, func(m member) bool { return m.name == edit.list })
	if index < 0 {
		if len(edit.add) == 0 {
			return members
		}
		members = append(members, newList(edit.list))
		index = len(members) - 1
	}
	if !members[index].list {
		found.add(addMember+"."+escape(edit.list), "names something that is no list in the configuration; remove it")
		return members
	}
	members[index].items = editItems(members[index].items, edit)
	return members
}

// editItems removes items, replaces them in their places and appends new ones.
func editItems(items []item, edit *edit) []item {
	items = removeItems(items, edit.remove)
	places := make(map[string]int, len(items))
	for place, entry := range items {
		places[entry.name] = place
	}
	for _, entry := range edit.add {
		place, exists := places[entry.name]
		if exists {
			items[place] = entry
			continue
		}
		places[entry.name] = len(items)
		items = append(items, entry)
	}
	return items
}

// removeItems returns items without the named ones.
func removeItems(items []item, names []string) []item {
	unwanted := make(map[string]bool, len(names))
	for _, name := range names {
		unwanted[name] = true
	}
	return slices.DeleteFunc(items, func(entry item) bool { return entry.name != "" && unwanted[entry.name] })
}

// assemble writes members as one document, and has them refer to its text alone, so that no earlier text is kept.
func assemble(members []member) document {
	var text strings.Builder
	var ends []int // where each item of a list and each other value ends, in the order of writing
	text.WriteByte('{')
	for index := range members {
		if index > 0 {
			text.WriteByte(',')
		}
		ends = writeMember(&text, &members[index], ends)
	}
	text.WriteByte('}')
	refer(members, text.String(), ends)
	return document{text: text.String(), members: members}
}

// writeMember writes one member and appends where its items end, or its value where it is no list.
func writeMember(text *strings.Builder, m *member, ends []int) []int {
	text.WriteString(m.key)
	text.WriteByte(':')
	if !m.list {
		text.WriteString(m.value)
		return append(ends, text.Len())
	}
	text.WriteByte('[')
	for index, entry := range m.items {
		if index > 0 {
			text.WriteByte(',')
		}
		text.WriteString(entry.value)
		ends = append(ends, text.Len())
	}
	text.WriteByte(']')
	return ends
}

// refer has the values of members be parts of text, as writeMember has written them.
func refer(members []member, text string, ends []int) {
	next := 0
	part := func(length int) string {
		end := ends[next]
		next++
		return text[end-length : end]
	}
	for index := range members {
		m := &members[index]
		m.key = strings.Clone(m.key)
		if !m.list {
			m.value = part(len(m.value))
			continue
		}
		m.value = emptyListValue
		for place := range m.items {
			m.items[place].value = part(len(m.items[place].value))
		}
	}
}
