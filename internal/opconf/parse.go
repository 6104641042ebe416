package opconf

import (
	"fmt"
	"time"

	"github.com/tidwall/gjson"
)

// Parse reads and checks a whole configuration. It fails with Error, whose cause is an *InvalidError with all faults.
func Parse(body []byte) (*Configuration, error) { return ParseAfter(nil, body) }

// ParseAfter is Parse where most is as in an earlier configuration: items that stand there byte for byte are not read
// again. It makes the same of the same body, whatever was before; nil: nothing was.
func ParseAfter(before *Configuration, body []byte) (*Configuration, error) {
	found := &faults{}
	object, ok := readObject(body, found)
	if !ok {
		return nil, found.err()
	}
	parsed := cut(object, found)
	parsed.needList(routesMember, found)
	parsed.needList(servicesMember, found)
	if before != nil {
		parsed.adopt(&before.document, routesMember)
		parsed.adopt(&before.document, servicesMember)
	}
	return build(parsed, before, found)
}

// adopt marks the items of a list that an earlier document has in the same words.
func (d *document) adopt(before *document, list string) {
	old := before.items(list)
	places := make(map[string]int, len(old))
	for place := range old {
		places[old[place].name] = place
	}
	items := d.items(list)
	for i := range items {
		if place, known := places[items[i].name]; known && items[i].name != "" && old[place].value == items[i].value {
			items[i].from = place
		}
	}
}

// needList notes a fault where the named member is not a list.
func (d *document) needList(name string, found *faults) {
	place := d.member(name)
	if place < 0 || !d.members[place].list {
		found.add(name, "is not a list; give all %s, or [] for none", name)
	}
}

// build reads and checks what a document says. Items that were taken unchanged from base are not read again.
func build(parsed document, base *Configuration, found *faults) (*Configuration, error) {
	if base == nil {
		base = &Configuration{}
	}
	result := &Configuration{
		Version:  readVersion(gjson.Parse(parsed.text), found),
		Routes:   buildList(parsed.items(routesMember), base.Routes, routesMember, readRoute, found),
		Services: buildList(parsed.items(servicesMember), base.Services, servicesMember, readService, found),
		Limits:   readLimits(parsed.value(limitsMember), found),
		document: parsed,
	}
	check(result, found)
	if err := found.err(); err != nil {
		return nil, err
	}
	return result, nil
}

// buildList reads the items of a list with read, but for those that base has already.
func buildList[T any](items []item, base []T, list string, read func(object) T, found *faults) []T {
	result := make([]T, 0, len(items))
	for place, entry := range items {
		if entry.from != fresh {
			result = append(result, base[entry.from])
			continue
		}
		path := fmt.Sprintf("%s.%d", list, place)
		result = append(result, read(object{path: path, value: gjson.Parse(entry.value), found: found}))
	}
	return result
}

// readRoute reads one route.
func readRoute(o object) Route {
	if !o.isObject() {
		return Route{}
	}
	route := Route{
		Name:       o.needed("name"),
		Host:       normalHost(o.needed("domain")),
		PathPrefix: readPrefix(o),
		Kind:       readKind(o),
		GiveUp:     o.duration("give_up_ms", time.Millisecond),
		Target:     o.duration("target_ms", time.Millisecond),
		Rank:       o.whole("rank"),
		Shares:     readShares(o),
		Tries:      max(o.whole("tries"), 1),
		Sticky:     o.flag("sticky"),
		PickUp:     o.flag("pick_up"),
		GapAim:     o.duration("gap_aim_ms", time.Millisecond),
	}
	if o.value.Get("give_up_ms").Num == 0 {
		o.found.add(o.at("give_up_ms"), "is 0 or missing; give the longest time to hold a request, in milliseconds")
	}
	return route
}

// isObject notes a fault where the value is not a JSON object.
func (o object) isObject() bool {
	if !o.value.IsObject() {
		o.found.add(o.path, "is not a JSON object; give one")
		return false
	}
	return true
}

// readPrefix reads the start of the paths that a route takes.
func readPrefix(o object) string {
	prefix := o.needed("path_start")
	if prefix == "" {
		return ""
	}
	if prefix[0] != '/' || prefix[len(prefix)-1] != '/' {
		o.found.add(o.at("path_start"), "%q does not begin and end with a slash; add what is missing", prefix)
	}
	return prefix
}

// readKind reads the kind of a route. An unknown kind is refused: whether its requests may be repeated is not known.
func readKind(o object) RouteKind {
	name := o.text("route_type")
	if name == "" {
		return Risky
	}
	kind, known := routeKinds[name]
	if !known {
		o.found.add(o.at("route_type"), "%q is unknown; give harmless, risky or flowing", name)
	}
	return kind
}

// readShares reads the services of a route, from a list with weights or from a single name.
func readShares(o object) []Share {
	list, given := o.get("share_out")
	single := o.text("service")
	if single != "" && (!given || emptyList(list)) {
		return []Share{{Service: single, Weight: 1}}
	}
	if !given {
		o.found.add(o.at("service"), "is missing; name a service here, or several in share_out")
		return nil
	}
	if !list.IsArray() {
		o.found.add(o.at("share_out"), "is not a list; give services with their weights")
		return nil
	}
	return readShareList(o, list)
}

// emptyList reports whether value is a list without items.
func emptyList(value gjson.Result) bool {
	return value.IsArray() && !value.Get("0").Exists()
}

// readShareList reads services with weights, which must not sum to 0.
func readShareList(o object, list gjson.Result) []Share {
	var shares []Share
	sum := 0.0
	for place, value := range list.Array() {
		entry := object{path: fmt.Sprintf("%s.%d", o.at("share_out"), place), value: value, found: o.found}
		if !entry.isObject() {
			continue
		}
		share := Share{Service: entry.needed("service"), Weight: entry.number("weight")}
		shares = append(shares, share)
		sum += share.Weight
	}
	if sum == 0 {
		o.found.add(o.at("share_out"), "has weights that sum to 0; give at least one service a weight above 0")
	}
	return shares
}

// readService reads one service.
func readService(o object) Service {
	if !o.isObject() {
		return Service{}
	}
	service := Service{
		Name:           o.needed("name"),
		HealthPath:     o.text("health_path"),
		MaxConnections: o.whole("max_connections"),
		Protocol:       o.text("protocol"),
		TLS:            o.flag("tls"),
		Runner:         readRunner(o),
	}
	if service.Protocol == "" {
		service.Protocol = DefaultProtocol
	}
	return service
}

// readRunner reads the figures of model workers, nil where there are none.
func readRunner(service object) *Runner {
	value, given := service.get("runner")
	if !given {
		return nil
	}
	o := object{path: service.at("runner"), value: value, found: service.found}
	if !o.isObject() {
		return nil
	}
	return &Runner{
		Capacity:     o.whole("capacity"),
		MemoryTokens: o.whole("memory_tokens"),
		TokenBytes:   o.whole("token_bytes"),
		LinkMbps:     o.number("link_mbps"),
		Stride:       o.whole("stride"),
		TicketHold:   o.duration("ticket_hold_s", time.Second),
		ChangeTime:   o.duration("change_s", time.Second),
		Models:       readModels(o),
	}
}

// readModels reads the models that workers run.
func readModels(runner object) []Model {
	list, given := runner.get("models")
	if !given {
		return nil
	}
	if !list.IsArray() {
		runner.found.add(runner.at("models"), "is not a list; give models with their names")
		return nil
	}
	var models []Model
	for place, value := range list.Array() {
		o := object{path: fmt.Sprintf("%s.%d", runner.at("models"), place), value: value, found: runner.found}
		if o.isObject() {
			models = append(models, Model{Name: o.text("name")})
		}
	}
	return models
}

// readLimits reads the bounds of what clients may send.
func readLimits(value gjson.Result, found *faults) Limits {
	o := object{path: limitsMember, value: value, found: found}
	given := value.Exists() && value.Type != gjson.Null
	if !given || !o.isObject() {
		return Limits{}
	}
	return Limits{
		HeaderBytes: o.whole("header_bytes"),
		BodyBytes:   o.whole("body_bytes"),
		HeaderWait:  o.duration("header_wait_ms", time.Millisecond),
		Quiet:       o.duration("quiet_ms", time.Millisecond),
	}
}
