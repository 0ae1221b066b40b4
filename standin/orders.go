package standin

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

type backendOrder struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Version      int    `json:"version"`
	ExpectedRev  *int   `json:"expectedRev"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fencingToken"`
}

// OrderRecord is an order that a Backend received.
type OrderRecord struct {
	Holder       string
	FencingToken uint64
	At           time.Time
}

// Orders returns the orders received so far, oldest first.
func (b *Backend) Orders() []OrderRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.orderRecords)
}

// OrderViolations returns what must not occur among the orders received so far: a lower
// fencing token after a higher one, and orders of two holders with one token or less than
// minHandover apart.
func (b *Backend) OrderViolations(minHandover time.Duration) []string {
	var out []string
	latest, newest := map[string]time.Time{}, OrderRecord{} // latest order by holder, and the order with the highest token
	for _, o := range b.Orders() {
		switch {
		case o.FencingToken < newest.FencingToken:
			out = append(out, fmt.Sprintf("%s: token %d of %s after %d of %s", b.cfg.ID, o.FencingToken, o.Holder, newest.FencingToken, newest.Holder))
		case o.FencingToken == newest.FencingToken && newest.Holder != "" && o.Holder != newest.Holder:
			out = append(out, fmt.Sprintf("%s: token %d of %s and %s", b.cfg.ID, o.FencingToken, o.Holder, newest.Holder))
		}
		for holder, at := range latest {
			if holder != o.Holder && o.At.Sub(at) < minHandover {
				out = append(out, fmt.Sprintf("%s: order of %s %v after one of %s", b.cfg.ID, o.Holder, o.At.Sub(at).Round(time.Millisecond), holder))
			}
		}
		latest[o.Holder] = o.At
		if o.FencingToken >= newest.FencingToken {
			newest = o
		}
	}
	return out
}

func (b *Backend) order(w http.ResponseWriter, r *http.Request) {
	var o backendOrder
	if !readJSON(w, r, &o) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orderRequests++
	if b.faults.LoseOrderEvery > 0 && b.orderRequests%b.faults.LoseOrderEvery == 0 {
		panic(http.ErrAbortHandler)
	}
	b.counts.Orders++
	b.counts.FencingTokenDecreased = b.counts.FencingTokenDecreased || o.FencingToken < b.maxFencingToken
	b.maxFencingToken = max(b.maxFencingToken, o.FencingToken)
	if n := len(b.counts.Holders); n == 0 || b.counts.Holders[n-1] != o.Holder {
		b.counts.Holders = append(b.counts.Holders, o.Holder)
	}
	b.orderRecords = append(b.orderRecords, OrderRecord{Holder: o.Holder, FencingToken: o.FencingToken, At: time.Now()})
	w.WriteHeader(b.executeOrder(o))
}

// executeOrder executes an order and returns the HTTP status. Callers hold mu.
func (b *Backend) executeOrder(o backendOrder) int {
	now := time.Now()
	if o.Adapter == "" && o.Operation == "unload" {
		return b.unloadModel(o)
	}
	if o.Adapter == "" {
		if b.model == o.Model {
			return http.StatusOK
		}
		if o.ExpectedRev != nil && *o.ExpectedRev != b.orders {
			return http.StatusConflict
		}
		b.orders++
		b.crashDuringLoad(o.Model, b.cfg.ModelLoadTime)
		b.counts.WeightsExceeded = b.counts.WeightsExceeded || (b.model != "" && 2*b.cfg.ModelMB > b.cfg.WeightsMB)
		b.model, b.modelReadyAt = o.Model, now.Add(b.cfg.ModelLoadTime)
		return http.StatusAccepted
	}
	a := b.adapters[o.Adapter]
	version := max(o.Version, 1)
	if o.Operation == "load" && a != nil && a.version >= version {
		if now.Before(a.readyAt) {
			return http.StatusAccepted
		}
		return http.StatusOK
	}
	if o.Operation == "unload" && a == nil {
		return http.StatusOK
	}
	if b.unloading != "" {
		if o.Operation == "unload" && o.Adapter == b.unloading {
			return http.StatusAccepted
		}
		return http.StatusConflict
	}
	if b.model != o.Model || now.Before(b.modelReadyAt) || o.ExpectedRev == nil || *o.ExpectedRev != b.orders {
		return http.StatusConflict
	}
	b.orders++
	if o.Operation == "unload" {
		b.counts.Unloads++
		if a.activeRequests > 0 {
			b.counts.UnloadsInUse++
			b.unloading = o.Adapter
			return http.StatusAccepted
		}
		delete(b.adapters, o.Adapter)
		b.loadedBefore[o.Adapter] = true
		return http.StatusOK
	}
	load := b.cfg.LoadTime
	if b.loadedBefore[o.Adapter] {
		load /= 10
	}
	b.crashDuringLoad(o.Adapter, load)
	b.adapters[o.Adapter] = &backendAdapter{version: version, readyAt: now.Add(load), replaces: a != nil}
	b.counts.WeightsExceeded = b.counts.WeightsExceeded || b.weightsMB(now) > b.cfg.WeightsMB
	b.counts.SlotsExceeded = b.counts.SlotsExceeded || len(b.adapters) > b.cfg.AdapterSlots
	return http.StatusAccepted
}

// unloadModel drops the base model with its adapters when its runs have ended. Callers hold
// mu.
func (b *Backend) unloadModel(o backendOrder) int {
	switch {
	case b.model != o.Model:
		return http.StatusOK
	case o.ExpectedRev == nil || *o.ExpectedRev != b.orders || time.Now().Before(b.modelReadyAt):
		return http.StatusConflict
	}
	b.orders++
	b.counts.ModelUnloads++
	b.unloadingModel = true
	b.finishModelUnload()
	return http.StatusAccepted
}

// finishModelUnload drops the base model that is to be unloaded once it has no requests in
// progress. Callers hold mu.
func (b *Backend) finishModelUnload() {
	if b.unloadingModel && b.running == 0 {
		b.model, b.unloadingModel, b.adapters = "", false, map[string]*backendAdapter{}
	}
}

// weightsMB returns the size of what is loaded and loading, with both versions of an
// adapter that is being replaced. Callers hold mu.
func (b *Backend) weightsMB(now time.Time) float64 {
	mb := b.cfg.ModelMB
	for _, a := range b.adapters {
		mb += b.cfg.AdapterMB
		if a.replaces && now.Before(a.readyAt) {
			mb += b.cfg.AdapterMB
		}
	}
	return mb
}

// SetAdapterSize changes the size of the adapters, as a new configuration declares it.
func (b *Backend) SetAdapterSize(mb float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.AdapterMB = mb
}

// crashDuringLoad ends the process in the middle of a load, if the fault is in force.
// Callers hold mu.
func (b *Backend) crashDuringLoad(name string, load time.Duration) {
	if b.crash != nil && b.faults.CrashLoad == name {
		b.counts.CrashLoads = append(b.counts.CrashLoads, time.Now())
		time.AfterFunc(load/2, b.crash)
	}
}
