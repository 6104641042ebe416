package fleettest

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/tidwall/gjson"
)

// action is one call of an operator, with what came of it.
type action struct {
	read    bool
	order   markedOrder // of calls that are no reads
	status  int         // 200, 400, 412; 0: nothing clear came
	version uint64      // that a read gave; 0: there is no configuration
	mark    string      // likewise
}

// markedOrder is an order for a whole configuration; two with the same fields are the very same order.
type markedOrder struct {
	builtOn uint64
	version uint64
	mark    string
	whole   bool // with the routes that edges serve, and one of its own
}

func (o markedOrder) document() string {
	if o.whole {
		return strings.Replace(Document(o.version, fmt.Sprintf("r%d", o.version)), "{", fmt.Sprintf(`{"mark":%q,`, o.mark), 1)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"s"}],"mark":%q}`, o.version, o.mark)
}

func (o markedOrder) key() string { return fmt.Sprintf("%d>%d%s", o.builtOn, o.version, o.mark) }

// String implements fmt.Stringer.
func (a action) String() string {
	if a.read {
		return fmt.Sprintf("read: %d %d%s", a.status, a.version, a.mark)
	}
	return fmt.Sprintf("order %s: %d", a.order.key(), a.status)
}

// history notes what operators did and saw.
type history struct {
	fleet *Fleet
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// act has an operator make a call and notes it.
func (h *history) act(client int, call func() action) action {
	began := h.fleet.Now()
	done := call()
	back := int64(h.fleet.Now())
	if done.status == 0 && !done.read {
		back = math.MaxInt64 // it may take effect at any time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if done.status != 0 || !done.read {
		h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: done, Call: int64(began), Output: done, Return: back})
	}
	return done
}

// send sends an order to a member once.
func (h *history) send(client int, at *Control, order markedOrder) action {
	return h.act(client, func() action {
		status := h.fleet.Operator.Replace(at, order.builtOn, order.document())
		if status != http.StatusOK && status != http.StatusPreconditionFailed && status != http.StatusBadRequest {
			status = 0
		}
		return action{order: order, status: status}
	})
}

// read asks a member for the configuration once.
func (h *history) read(client int, at *Control) action {
	return h.act(client, func() action {
		status, document := h.fleet.Operator.Read(at)
		switch status {
		case http.StatusOK:
			return action{read: true, status: status, version: gjson.Get(document, "version").Uint(), mark: gjson.Get(document, "mark").String()}
		case http.StatusNotFound:
			return action{read: true, status: http.StatusOK}
		}
		return action{read: true}
	})
}

// start has the history begin with a configuration that is there.
func (h *history) start(version uint64) {
	h.ops = append(h.ops, porcupine.Operation{Input: action{status: http.StatusOK, order: markedOrder{version: version}}, Call: 0, Return: 1})
}

// register is the configuration as a plain register, in the form that the checker compares: the current version and mark, and
// the keys of orders that were taken and refused, each with a comma after it, sorted.
type register struct {
	version        uint64
	mark           string
	taken, refused string
}

func listed(list, key string) bool {
	return strings.HasPrefix(list, key+",") || strings.Contains(list, ","+key+",")
}

func with(list, key string) string {
	if listed(list, key) {
		return list
	}
	keys := strings.Split(strings.TrimSuffix(list, ","), ",")
	if list == "" {
		keys = nil
	}
	keys = append(keys, key)
	slices.Sort(keys)
	return strings.Join(keys, ",") + ","
}

// refuses reports whether an order has to be refused now.
func (r register) refuses(order markedOrder) bool {
	return listed(r.refused, order.key()) || order.builtOn != r.version || order.version <= r.version
}

// step is what a call does to the register, and whether what came of it can be.
func (r register) step(a action) (bool, register) {
	if a.read {
		return a.version == r.version && a.mark == r.mark, r
	}
	key := a.order.key()
	switch {
	case listed(r.taken, key):
		return a.status == http.StatusOK || a.status == 0, r
	case r.refuses(a.order):
		r.refused = with(r.refused, key)
		return a.status != http.StatusOK, r
	}
	r.version, r.mark, r.taken = a.order.version, a.order.mark, with(r.taken, key)
	return a.status == http.StatusOK || a.status == 0, r
}

// registerModel is the register for the checker. A call without a clear answer has whatever effect it has where it stands
// in the order; it may stand behind all others.
var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, _ any) (bool, any) {
		possible, next := state.(register).step(input.(action))
		return possible, next
	},
	DescribeOperation: func(input, _ any) string { return input.(action).String() },
}

// distinct returns the calls, of those without a clear answer only the first for each order: it may take effect at any time
// after it, as the later ones may, and an order takes effect once.
func (h *history) distinct() []porcupine.Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := map[string]int64{}
	for _, op := range h.ops {
		if done := op.Input.(action); done.status == 0 {
			if call, seen := first[done.order.key()]; !seen || op.Call < call {
				first[done.order.key()] = op.Call
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(h.ops), func(op porcupine.Operation) bool {
		done := op.Input.(action)
		return done.status == 0 && op.Call != first[done.order.key()]
	})
}

// judge checks that one order of all calls, each between its beginning and its answer, explains what the operators saw. It
// gives the history where there is none, and "" where there is one.
func (h *history) judge() string {
	ops := h.distinct()
	if porcupine.CheckOperations(registerModel, ops) {
		return ""
	}
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	var text strings.Builder
	for _, op := range ops {
		answered := "never"
		if op.Return != math.MaxInt64 {
			answered = time.Duration(op.Return).String()
		}
		fmt.Fprintf(&text, "%v to %s, operator %d: %v\n", time.Duration(op.Call), answered, op.ClientId, op.Input)
	}
	return text.String()
}
