package load

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/chestnutstream/chestnutstream/standin"
)

// A fault is switched on at a quarter of a run and off at three quarters,
// unless it happens at points in time.
type fault struct {
	name string
	run  func(ctx context.Context, r *runner, begin, end time.Duration)
}

// faults are the faults by name.
func faults() []fault {
	return []fault{
		{"store-down", platformFault(func(f *standin.PlatformFaults, on bool) { f.StoreDown = on })},
		{"store-slow", platformFault(func(f *standin.PlatformFaults, on bool) { f.StoreDelayMS = pick(on, 800) })},
		{"store-lost-answers", platformFault(func(f *standin.PlatformFaults, on bool) { f.LostResponses = float64(pick(on, 3)) / 10 })},
		{"load-failures", platformFault(func(f *standin.PlatformFaults, on bool) {
			f.LoadFailures = float64(pick(on, 3)) / 10
			f.FailingAdapter = ""
			if on {
				f.FailingAdapter = adapterName(failingRank)
			}
		})},
		{"engine-restart", engineRestart},
		{"popularity-shift", func(_ context.Context, r *runner, begin, _ time.Duration) {
			r.at(2 * begin)
			r.shift.Store(int64(r.d.Spec.Adapters / 3))
		}},
		{"instance-killed", instanceKilled},
		{"instance-paused", instancePaused},
		{"instance-drain", instanceDrain},
		{"zone-cut", zoneCut},
		{"silent-connections", silentConnections},
		{"configuration-race", func(_ context.Context, r *runner, begin, end time.Duration) {
			r.at(begin)
			r.racing.Store(true)
			r.at(end)
			r.racing.Store(false)
		}},
		{"late-reports", lateReports},
		{"server-leaving", serverLeaving},
	}
}

// failingRank is the popularity rank of the adapter whose loads always fail
// under load-failures.
const failingRank = 20

func pick(on bool, n int) int {
	if on {
		return n
	}
	return 0
}

// findFaults returns the faults that a comma-separated list names.
func findFaults(list string) ([]fault, error) {
	var out []fault
	for _, name := range strings.Split(list, ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		found := false
		for _, f := range faults() {
			if f.name == name {
				out, found = append(out, f), true
			}
		}
		if !found {
			return nil, fmt.Errorf("fault %q: want one of %s", name, strings.Join(FaultNames(), ", "))
		}
	}
	return out, nil
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	var names []string
	for _, f := range faults() {
		names = append(names, f.name)
	}
	return names
}

func platformFault(change func(f *standin.PlatformFaults, on bool)) func(context.Context, *runner, time.Duration, time.Duration) {
	return func(_ context.Context, r *runner, begin, end time.Duration) {
		r.at(begin)
		r.changePlatform(func(f *standin.PlatformFaults) { change(f, true) })
		r.at(end)
		r.changePlatform(func(f *standin.PlatformFaults) { change(f, false) })
	}
}

// changePlatform changes some of the platform's faults and leaves the others.
func (r *runner) changePlatform(change func(f *standin.PlatformFaults)) {
	r.faultMu.Lock()
	defer r.faultMu.Unlock()
	f := r.d.Platform.Faults()
	change(&f)
	r.d.Platform.SetFaults(f)
}

func engineRestart(_ context.Context, r *runner, begin, end time.Duration) {
	for i := range 3 {
		r.at(begin + time.Duration(i)*(end-begin)/3)
		r.d.Engines[i%len(r.d.Engines)].Engine.Restart()
	}
}

func instanceKilled(_ context.Context, r *runner, begin, end time.Duration) {
	e := r.d.Entries[0]
	r.at(begin)
	r.setAway(e, true)
	e.Instance.Close()
	r.at(end)
	if err := r.d.Restart(e); err != nil {
		r.fail(err)
		return
	}
	r.setAway(e, false)
}

func instancePaused(_ context.Context, r *runner, begin, end time.Duration) {
	e := r.d.Entries[len(r.d.Entries)-1]
	r.at(begin)
	r.setAway(e, true)
	e.Instance.Pause(end - begin)
	r.at(end)
	r.setAway(e, false)
}

func instanceDrain(ctx context.Context, r *runner, begin, end time.Duration) {
	e := r.d.Entries[1]
	r.at(begin)
	// The balancer stops sending a moment after the instance says so.
	time.AfterFunc(time.Second, func() { r.setAway(e, true) })
	if err := e.Instance.Drain(ctx); err != nil {
		r.fail(fmt.Errorf("drain: %w", err))
		return
	}
	r.at(end)
	if err := r.d.Restart(e); err != nil {
		r.fail(err)
		return
	}
	r.setAway(e, false)
}

func zoneCut(_ context.Context, r *runner, begin, end time.Duration) {
	zone := zoneName(1)
	r.at(begin)
	r.d.Network.Cut(zone, true)
	r.changePlatform(func(f *standin.PlatformFaults) { f.CutZones = zone })
	r.at(end)
	r.d.Network.Cut(zone, false)
	r.changePlatform(func(f *standin.PlatformFaults) { f.CutZones = "" })
}

func silentConnections(_ context.Context, r *runner, begin, end time.Duration) {
	for _, at := range []time.Duration{begin, (begin + end) / 2, end} {
		r.at(at)
		for _, s := range append(append([]*Server{}, r.d.Engines...), r.d.Services...) {
			s.Listener.SilenceConnections()
		}
	}
}

func lateReports(_ context.Context, r *runner, begin, end time.Duration) {
	r.at(begin)
	r.changeEngines(func(f *standin.EngineFaults) { f.ReportLagMS = 3000 })
	r.at(end)
	r.changeEngines(func(f *standin.EngineFaults) { f.ReportLagMS = 0 })
}

func (r *runner) changeEngines(change func(f *standin.EngineFaults)) {
	r.faultMu.Lock()
	defer r.faultMu.Unlock()
	for _, s := range r.d.Engines {
		f := s.Engine.Faults()
		change(&f)
		s.Engine.SetFaults(f)
	}
}

// serverLeaving has an engine and a plain server leave; the platform's list
// tells it late.
func serverLeaving(_ context.Context, r *runner, begin, _ time.Duration) {
	r.at(begin)
	e, s := r.d.Engines[2], r.d.Services[0]
	r.faultMu.Lock()
	f := e.Engine.Faults()
	f.Leaving = true
	e.Engine.SetFaults(f)
	s.Service.SetFaults(standin.ServiceFaults{Leaving: true})
	r.faultMu.Unlock()
	for _, srv := range []*Server{e, s} {
		r.d.Platform.Register(standin.InstanceRow{
			Name: srv.Name, Address: srv.Listener.Address, Region: "region", Zone: srv.Zone, Role: "backend", State: "leaving",
		})
	}
}
