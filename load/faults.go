package load

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/chestnutstream/chestnutstream/standin"
)

// fault is a fault that a run can inject. It lasts from begin to end, which are a
// quarter and three quarters of the run's duration, unless it is instantaneous.
type fault struct {
	name string
	run  func(ctx context.Context, r *runner, begin, end time.Duration)
}

// faults returns all faults.
func faults() []fault {
	return []fault{
		{"store-down", platformFault(func(f *standin.PlatformFaults, on bool) { f.StoreDown = on })},
		{"store-slow", platformFault(func(f *standin.PlatformFaults, on bool) { f.StoreDelayMS = valueIf(on, 800) })},
		{"store-lost-answers", platformFault(func(f *standin.PlatformFaults, on bool) { f.LostResponses = float64(valueIf(on, 3)) / 10 })},
		{"load-failures", platformFault(func(f *standin.PlatformFaults, on bool) {
			f.LoadFailures = float64(valueIf(on, 3)) / 10
			f.FailingAdapter = ""
			if on {
				f.FailingAdapter = adapterName(failingRank)
			}
		})},
		{"engine-restart", engineRestart},
		{"popularity-shift", func(_ context.Context, r *runner, begin, _ time.Duration) {
			r.sleepUntil(2 * begin)
			r.popularityShift.Store(int64(r.d.Spec.Adapters / 3))
		}},
		{"instance-killed", instanceKilled},
		{"instance-paused", instancePaused},
		{"instance-drain", instanceDrain},
		{"zone-cut", zoneCut},
		{"silent-connections", silentConnections},
		{"configuration-race", func(_ context.Context, r *runner, begin, end time.Duration) {
			r.sleepUntil(begin)
			r.raceConfiguration.Store(true)
			r.sleepUntil(end)
			r.raceConfiguration.Store(false)
		}},
		{"late-reports", lateReports},
		{"server-leaving", serverLeaving},
	}
}

// failingRank is the popularity rank of the adapter whose loads always fail under
// the fault load-failures.
const failingRank = 20

// valueIf returns n while a fault is on and 0 otherwise.
func valueIf(on bool, n int) int {
	if on {
		return n
	}
	return 0
}

// findFaults returns the faults in a comma-separated list of names.
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

// platformFault returns a fault that changes the faults of the platform stand-in
// between begin and end.
func platformFault(update func(f *standin.PlatformFaults, on bool)) func(context.Context, *runner, time.Duration, time.Duration) {
	return func(_ context.Context, r *runner, begin, end time.Duration) {
		r.sleepUntil(begin)
		r.updatePlatformFaults(func(f *standin.PlatformFaults) { update(f, true) })
		r.sleepUntil(end)
		r.updatePlatformFaults(func(f *standin.PlatformFaults) { update(f, false) })
	}
}

// updatePlatformFaults changes some faults of the platform and keeps the others.
func (r *runner) updatePlatformFaults(update func(f *standin.PlatformFaults)) {
	r.faultMu.Lock()
	defer r.faultMu.Unlock()
	f := r.d.Platform.Faults()
	update(&f)
	r.d.Platform.SetFaults(f)
}

func engineRestart(_ context.Context, r *runner, begin, end time.Duration) {
	for i := range 3 {
		r.sleepUntil(begin + time.Duration(i)*(end-begin)/3)
		r.d.Engines[i%len(r.d.Engines)].Engine.Restart()
	}
}

func instanceKilled(_ context.Context, r *runner, begin, end time.Duration) {
	e := r.d.Entries[0]
	r.sleepUntil(begin)
	r.setOutOfRotation(e, true)
	e.Instance.Close()
	r.sleepUntil(end)
	if err := r.d.Restart(e); err != nil {
		r.fail(err)
		return
	}
	r.setOutOfRotation(e, false)
}

func instancePaused(_ context.Context, r *runner, begin, end time.Duration) {
	e := r.d.Entries[len(r.d.Entries)-1]
	r.sleepUntil(begin)
	r.setOutOfRotation(e, true)
	e.Instance.Pause(end - begin)
	r.sleepUntil(end)
	r.setOutOfRotation(e, false)
}

func instanceDrain(ctx context.Context, r *runner, begin, end time.Duration) {
	e := r.d.Entries[1]
	r.sleepUntil(begin)
	// The balancer takes the instance out of rotation 1 s after it starts to drain.
	time.AfterFunc(time.Second, func() { r.setOutOfRotation(e, true) })
	if err := e.Instance.Drain(ctx); err != nil {
		r.fail(fmt.Errorf("drain: %w", err))
		return
	}
	r.sleepUntil(end)
	if err := r.d.Restart(e); err != nil {
		r.fail(err)
		return
	}
	r.setOutOfRotation(e, false)
}

func zoneCut(_ context.Context, r *runner, begin, end time.Duration) {
	zone := zoneName(1)
	r.sleepUntil(begin)
	r.d.Network.Cut(zone, true)
	r.updatePlatformFaults(func(f *standin.PlatformFaults) { f.CutZones = zone })
	r.sleepUntil(end)
	r.d.Network.Cut(zone, false)
	r.updatePlatformFaults(func(f *standin.PlatformFaults) { f.CutZones = "" })
}

func silentConnections(_ context.Context, r *runner, begin, end time.Duration) {
	for _, offset := range []time.Duration{begin, (begin + end) / 2, end} {
		r.sleepUntil(offset)
		for _, s := range append(append([]*Server{}, r.d.Engines...), r.d.Services...) {
			s.Listener.SilenceConnections()
		}
	}
}

func lateReports(_ context.Context, r *runner, begin, end time.Duration) {
	r.sleepUntil(begin)
	r.updateEngineFaults(func(f *standin.EngineFaults) { f.ReportLagMS = 3000 })
	r.sleepUntil(end)
	r.updateEngineFaults(func(f *standin.EngineFaults) { f.ReportLagMS = 0 })
}

// updateEngineFaults changes some faults of every engine and keeps the others.
func (r *runner) updateEngineFaults(update func(f *standin.EngineFaults)) {
	r.faultMu.Lock()
	defer r.faultMu.Unlock()
	for _, s := range r.d.Engines {
		f := s.Engine.Faults()
		update(&f)
		s.Engine.SetFaults(f)
	}
}

// serverLeaving makes an engine and a plain service report that they are leaving.
// The platform's instance list shows it only after ListLag.
func serverLeaving(_ context.Context, r *runner, begin, _ time.Duration) {
	r.sleepUntil(begin)
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
