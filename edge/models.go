package edge

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/loader"
)

// modelDemandHalfLife is the half-life of the number of requests for a base model.
const modelDemandHalfLife = 10 * time.Second

// modelDemand is the number of this instance's requests for a base model, of which earlier
// ones count less.
type modelDemand struct {
	requests float64
	at       time.Time
}

func (d *modelDemand) value(now time.Time) float64 {
	return d.requests / (1 + float64(now.Sub(d.at))/float64(modelDemandHalfLife))
}

// recordModelDemand records a request to a service with several base models.
func (n *Node) recordModelDemand(p ingress.PlacementRequest) {
	spec := n.engineSpec(p.Service)
	if spec == nil || len(spec.Models) < 2 || spec.Model(p.Target.Model) == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	d := n.modelDemands[p.Target.Model]
	if d == nil {
		d = &modelDemand{}
		n.modelDemands[p.Target.Model] = d
	}
	d.requests, d.at = d.value(now)+1, now
}

// setModels tells the loaders of a service with several base models which other engines
// hold these, and how large the demand for each is. Callers hold mu.
func (n *Node) setModels(id string, e *loader.Engine, spec *chestnutstream.EngineSpec) {
	if len(spec.Models) < 2 {
		return
	}
	now := n.now()
	m := loader.Models{Holders: map[string]int{}, Demand: map[string]float64{}}
	for _, s := range n.fleet.Service(e.Server.Service) {
		if s.ID == id || !s.Usable() {
			continue
		}
		held := map[string]bool{}
		for _, model := range s.Models {
			held[model.Name] = true
		}
		if other := n.loaders[s.ID]; other != nil {
			for target := range other.Loading() { // not in its entry yet
				held[target.Model] = true
			}
		}
		for model := range held {
			m.Holders[model]++
		}
	}
	for _, model := range spec.Models {
		if d := n.modelDemands[model.Name]; d != nil {
			m.Demand[model.Name] = d.value(now)
		}
	}
	e.SetModels(m)
}
