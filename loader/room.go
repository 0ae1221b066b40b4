package loader

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// room is what an engine can still load: adapter slots and weights. It is
// negative when the configuration has reduced what fits on a loaded engine.
type room struct {
	slots     int
	weightsMB float64
}

func (r room) fits(need room) bool {
	return need.slots <= r.slots && need.weightsMB <= r.weightsMB
}

func (r room) plus(o room) room {
	return room{r.slots + o.slots, r.weightsMB + o.weightsMB}
}

// free returns the room that is left beside all that the engine holds or may hold:
// base models and adapters that are loaded, loading or unloading.
func (e *Engine) free() room {
	r := room{e.spec.AdapterSlots - len(e.slots), e.spec.MaxWeightsMB()}
	for model := range e.models {
		r.weightsMB -= e.modelMB(model)
	}
	if e.loadingModel != "" && !e.hasModel(e.loadingModel) {
		r.weightsMB -= e.modelMB(e.loadingModel)
	}
	for target, s := range e.slots {
		r.weightsMB -= e.adapterMB(target)
		if s.state == slotLoading && s.replaces {
			r.weightsMB -= e.adapterMB(target) // the older version stays loaded until its runs end
		}
	}
	return r
}

// Free returns the adapter slots and the weights that are left beside all that the engine
// holds or may hold.
func (e *Engine) Free() (slots int, weightsMB float64) {
	r := e.free()
	return r.slots, r.weightsMB
}

// evictable returns the room that evicting all possible victims would free.
func (e *Engine) evictable(boot time.Duration) room {
	r := room{}
	for target, s := range e.slots {
		if e.isVictim(boot, target, s) {
			r.slots++
			r.weightsMB += e.adapterMB(target)
		}
	}
	return r
}

// need returns the room that loading an adapter takes. A version that replaces a
// loaded one takes no further slot, but both versions are held meanwhile.
func (e *Engine) need(target chestnutstream.ModelAdapter) room {
	r := room{slots: 1, weightsMB: e.adapterMB(target)}
	if e.slots[target] != nil {
		r.slots = 0
	}
	return r
}

// modelMB returns the configured size of a base model, 0 if it has none.
func (e *Engine) modelMB(name string) float64 {
	if m := e.spec.Model(name); m != nil {
		return m.WeightsMB
	}
	return 0
}

// adapterMB returns the configured size of an adapter, 0 if it has none.
func (e *Engine) adapterMB(target chestnutstream.ModelAdapter) float64 {
	if m := e.spec.Model(target.Model); m != nil {
		return m.AdapterMB
	}
	return 0
}
