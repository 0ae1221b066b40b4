package loader

import (
	"fmt"
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// engineWorld is an engine as the platform's pages describe it, with orders that
// are lost or carried out late. It breaks when it is ordered to hold more
// adapters than it has slots for, or to unload one that is in use.
type engineWorld struct {
	now     time.Duration
	slots   int
	count   int
	models  map[string]bool
	modelAt time.Duration // when a model that is on its way is there
	modelOf string
	held    map[string]*heldAdapter
	going   string // an adapter in use that is to be unloaded: no other order is taken
	history []snapshot
	late    []lateOrder
	broken  string
	loads   int
	lax     bool // a mutant: the number of orders that an order expects is not checked
}

type heldAdapter struct {
	version int
	next    int           // version on its way
	readyAt time.Duration // 0: there
	uses    int
}

type snapshot struct {
	at     time.Duration
	report chestnutstream.BackendReport
}

type lateOrder struct {
	at time.Duration
	o  chestnutstream.BackendOrder
}

const (
	testModel = "m"
	worldLag  = 200 * time.Millisecond
	worldLoad = 250 * time.Millisecond
)

func newEngineWorld(slots int) *engineWorld {
	w := &engineWorld{now: time.Minute, slots: slots, models: map[string]bool{testModel: true}, held: map[string]*heldAdapter{}}
	w.note()
	return w
}

// advance lets time pass: loads end, late orders are carried out.
func (w *engineWorld) advance(d time.Duration) {
	end := w.now + d
	for w.now < end {
		w.now = min(w.now+10*time.Millisecond, end)
		w.settle()
		for i := 0; i < len(w.late); i++ {
			if w.late[i].at <= w.now {
				o := w.late[i].o
				w.late = append(w.late[:i], w.late[i+1:]...)
				i--
				w.carryOut(o)
			}
		}
		w.note()
	}
}

func (w *engineWorld) settle() {
	for _, h := range w.held {
		if h.readyAt > 0 && h.readyAt <= w.now && (h.version == 0 || h.uses == 0) {
			h.version, h.readyAt = h.next, 0
		}
	}
	if h := w.held[w.going]; w.going != "" && h.uses == 0 {
		delete(w.held, w.going)
		w.going = ""
	}
	if w.modelOf != "" && w.modelAt <= w.now {
		w.models[w.modelOf], w.modelOf = true, ""
	}
}

func (w *engineWorld) note() {
	r := chestnutstream.BackendReport{OrderCount: w.count, Busy: w.modelOf != ""}
	for m := range w.models {
		held := chestnutstream.HeldModel{Name: m, Version: 1}
		for name, h := range w.held {
			if h.version > 0 {
				held.Adapters = append(held.Adapters, chestnutstream.HeldAdapter{Name: name, Version: h.version})
			}
		}
		sort.Slice(held.Adapters, func(i, j int) bool { return held.Adapters[i].Name < held.Adapters[j].Name })
		r.Models = append(r.Models, held)
	}
	for name, h := range w.held {
		if h.readyAt > 0 {
			r.Pending = append(r.Pending, chestnutstream.PendingAdapter{ModelAdapter: chestnutstream.ModelAdapter{Model: testModel, Adapter: name}, Version: h.next})
		}
	}
	w.history = append(w.history, snapshot{w.now, r})
	if len(w.history) > 100 {
		w.history = w.history[1:]
	}
}

// report is the engine's word about itself, worldLag old.
func (w *engineWorld) report() chestnutstream.BackendReport {
	best := w.history[0]
	for _, s := range w.history {
		if s.at <= w.now-worldLag {
			best = s
		}
	}
	return best.report
}

// replacing reports whether an adapter waits for its runs to be replaced.
func (w *engineWorld) replacing() bool {
	for _, h := range w.held {
		if h.readyAt > 0 && h.version > 0 {
			return true
		}
	}
	return false
}

// carryOut takes an order.
func (w *engineWorld) carryOut(o chestnutstream.BackendOrder) chestnutstream.OrderAnswer {
	defer w.note()
	if o.Target.Adapter == "" {
		return w.loadModel(o)
	}
	h := w.held[o.Target.Adapter]
	version := max(o.Version, 1)
	if o.Kind == chestnutstream.OrderLoad && h != nil {
		if h.readyAt > 0 && h.next >= version {
			return chestnutstream.OrderUnderWay
		}
		if h.readyAt == 0 && h.version >= version && w.going != o.Target.Adapter {
			return chestnutstream.OrderHolds
		}
	}
	if o.Kind == chestnutstream.OrderUnload && h == nil {
		return chestnutstream.OrderHolds
	}
	if o.Kind == chestnutstream.OrderUnload && w.going == o.Target.Adapter {
		return chestnutstream.OrderUnderWay
	}
	if (o.OrderCount != w.count && !w.lax) || w.going != "" || w.replacing() || !w.models[o.Target.Model] {
		return chestnutstream.OrderConflict
	}
	w.count++
	if o.Kind == chestnutstream.OrderLoad {
		return w.load(o, h, version)
	}
	if h.uses > 0 || h.readyAt > 0 {
		w.going = o.Target.Adapter
		h.readyAt = 0
		return chestnutstream.OrderUnderWay
	}
	delete(w.held, o.Target.Adapter)
	return chestnutstream.OrderHolds
}

func (w *engineWorld) load(o chestnutstream.BackendOrder, h *heldAdapter, version int) chestnutstream.OrderAnswer {
	w.loads++
	if h != nil {
		h.next, h.readyAt = version, w.now+worldLoad
		return chestnutstream.OrderUnderWay
	}
	w.held[o.Target.Adapter] = &heldAdapter{next: version, readyAt: w.now + worldLoad}
	if len(w.held) > w.slots {
		w.broken = fmt.Sprintf("%d adapters in %d slots at %v", len(w.held), w.slots, w.now)
	}
	transit := 0
	for _, h := range w.held {
		if h.readyAt > 0 {
			transit++
		}
	}
	if transit > transitMost {
		w.broken = fmt.Sprintf("%d adapters on their way at %v", transit, w.now)
	}
	return chestnutstream.OrderUnderWay
}

func (w *engineWorld) loadModel(o chestnutstream.BackendOrder) chestnutstream.OrderAnswer {
	switch {
	case w.models[o.Target.Model]:
		return chestnutstream.OrderHolds
	case w.modelOf != "" || o.OrderCount != w.count:
		return chestnutstream.OrderConflict
	}
	w.count++
	w.modelOf, w.modelAt = o.Target.Model, w.now+1300*time.Millisecond
	return chestnutstream.OrderUnderWay
}

// restart empties the engine.
func (w *engineWorld) restart() {
	w.count, w.held, w.models, w.going, w.modelOf, w.late = 0, map[string]*heldAdapter{}, map[string]bool{}, "", "", nil
	w.history = nil
	w.note()
}
