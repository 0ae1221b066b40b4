package permit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Instances hold slots, release them, end, and lose reports. The requests in progress stay
// within the slots, except for those that an ended instance or a new issuer no longer
// knows of until their instances ask again.
func TestSlotsInProgressStayWithinTheServer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const holders = 4
		slots := rapid.IntRange(1, 20).Draw(rt, "slots")
		view := View{Reached: holders, All: holders}
		now := time.Unix(0, 0)
		issuer := NewSlots()
		held, received := map[string]int{}, map[string]uint64{}
		inFlight := map[string]int{} // grants on their way
		holding := func(in string) Holding { return Holding{in, held[in], received[in]} }
		total := func() int {
			n := 0
			for _, h := range held {
				n += h
			}
			return n
		}
		name := func() string { return fmt.Sprint("edge-", rapid.IntRange(0, holders-1).Draw(rt, "instance")) }
		rt.Repeat(map[string]func(*rapid.T){
			"request": func(rt *rapid.T) {
				in := name()
				ok, wait := issuer.Request(now, "i-1", holding(in), slots, view, true)
				if ok {
					inFlight[in]++
				} else if wait <= 0 {
					rt.Fatalf("denied without a wait")
				}
			},
			"grant arrives": func(*rapid.T) {
				if in := name(); inFlight[in] > 0 {
					inFlight[in]--
					held[in]++
					received[in]++
				}
			},
			"release": func(rt *rapid.T) {
				in := name()
				if held[in] == 0 {
					return
				}
				held[in]--
				if rapid.Bool().Draw(rt, "report arrives") {
					issuer.Report(now, "i-1", holding(in))
				}
			},
			"end": func(*rapid.T) {
				in := name()
				held[in], received[in], inFlight[in] = 0, 0, 0
				issuer.Depart(now, in)
			},
			"reject": func(*rapid.T) { issuer.RecordRejection(now, "i-1") },
			"time": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(rt, "ms")) * time.Millisecond)
				for in, n := range inFlight { // no grant takes longer than that
					held[in], received[in], inFlight[in] = held[in]+n, received[in]+uint64(n), 0
				}
			},
			"": func(*rapid.T) {
				if total() > slots {
					rt.Fatalf("%d requests in progress at a server with %d slots: %v", total(), slots, held)
				}
			},
		})
	})
}

func TestLostReportsDoNotBlockSlots(t *testing.T) {
	issuer, now, view := NewSlots(), time.Unix(0, 0), View{Reached: 1, All: 1}
	request := func(held int, received uint64) bool {
		ok, _ := issuer.Request(now, "i-1", Holding{"edge-a", held, received}, 4, view, true)
		return ok
	}
	for i := range 4 {
		assert.Assert(t, request(i, uint64(i)))
	}
	assert.Assert(t, !request(4, 4), "more requests than slots")
	assert.Assert(t, request(2, 4), "two reports of releases were lost")
	assert.Assert(t, request(2, 4), "crosses the grant before")
	assert.Assert(t, !request(2, 4), "two grants are on their way")
	now = now.Add(2 * maxGrantFlight)
	assert.Assert(t, request(2, 4), "the grants were lost")
}

func TestRejectionsLowerTheSlotsForAWhile(t *testing.T) {
	issuer, now, view := NewSlots(), time.Unix(0, 0), View{Reached: 1, All: 1}
	grants := func() int {
		n := 0
		for ok := true; ok; {
			if ok, _ = issuer.Request(now, "i-1", Holding{"edge-a", n, uint64(n)}, 20, view, true); ok {
				n++
			}
		}
		issuer.Depart(now, "edge-a")
		return n
	}
	assert.Equal(t, grants(), 20)
	issuer.RecordRejection(now, "i-1")
	assert.Equal(t, grants(), 15)
	issuer.RecordRejection(now.Add(rejectionInterval/2), "i-1") // of the same moment
	now = now.Add(3 * time.Second)
	assert.Equal(t, grants(), 20)
}

// Groups of instances that do not reach one another share the slots.
func TestPartitionedInstancesShareSlots(t *testing.T) {
	now := time.Unix(0, 0)
	granted := 0
	for _, reached := range []int{2, 3} {
		issuer, view := NewSlots(), View{Reached: reached, All: 5}
		for held := range 30 {
			if ok, _ := issuer.Request(now, "i-1", Holding{"edge-a", held, uint64(held)}, 20, view, true); ok {
				granted++
			}
		}
	}
	assert.Equal(t, granted, 20)
}

// Guards against requests for slots that grow with what waits: the messages delayed one
// another until issuers seemed to be gone.
func TestDeniedSlotRequestsAreFewAndLeaveNoSlotUnused(t *testing.T) {
	const (
		slots, instances = 8, 40
		hold             = 100 * time.Millisecond
		duration         = 5 * time.Second
	)
	issuer, view := NewSlots(), View{Reached: instances, All: instances}
	held, received, ends := map[string]int{}, map[string]uint64{}, map[string][]time.Time{}
	start := time.Unix(0, 0)
	retryAt := make([]time.Time, 400) // requests that wait; each is replaced by another one when it is served
	requests, grants := 0, 0
	for now := start; now.Before(start.Add(duration)); now = now.Add(time.Millisecond) {
		for in, times := range ends {
			for len(times) > 0 && !times[0].After(now) {
				times = times[1:]
				held[in]--
				issuer.Report(now, "i-1", Holding{in, held[in], received[in]})
			}
			ends[in] = times
		}
		for i := range retryAt {
			if now.Before(retryAt[i]) {
				continue
			}
			in := fmt.Sprint("edge-", i%instances)
			requests++
			ok, wait := issuer.Request(now, "i-1", Holding{in, held[in], received[in]}, slots, view, true)
			retryAt[i] = now.Add(wait)
			if ok {
				grants++
				held[in]++
				received[in]++
				ends[in] = append(ends[in], now.Add(hold))
			}
		}
	}
	possible := slots * int(duration/hold)
	assert.Assert(t, grants >= possible*9/10, "%d grants of %d possible", grants, possible)
	atLeast := len(retryAt) * int(duration/maxSlotWait) // no wait is longer
	assert.Assert(t, requests <= 4*grants+atLeast, "%d requests for %d grants", requests, grants)
}

// grantable returns how many slots of 20 an issuer grants to an instance that has none.
func grantable(issuer *Slots, now time.Time, name string, v View, primary bool) int {
	n := 0
	for {
		if ok, _ := issuer.Request(now, "i-1", Holding{name, n, uint64(n)}, 20, v, primary); !ok {
			return n
		}
		n++
	}
}

// Guards against issuers that grant slots of which they do not know who holds them.
func TestNewAndFallbackIssuersGrantAPart(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name    string
		changed time.Duration // since the candidates changed
		primary bool
		after   time.Duration // since its first request
		want    int
	}{
		{"issuer all along", time.Minute, true, 0, 20},
		{"new issuer", 100 * time.Millisecond, true, 0, 5},
		{"new issuer, later", 100 * time.Millisecond, true, takeoverTime, 20},
		{"fallback issuer", time.Minute, false, 0, 5},
		{"fallback issuer, later", time.Minute, false, takeoverTime, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			issuer, view := NewSlots(), View{Reached: 2, All: 2, ChangedAt: now.Add(-tt.changed)}
			if tt.after > 0 {
				for at := time.Duration(0); at < tt.after; at += takeoverPause {
					issuer.Request(now.Add(at), "i-1", Holding{Holder: "edge-b"}, 1, view, tt.primary)
				}
				issuer.Report(now.Add(tt.after), "i-1", Holding{"edge-b", 0, 1})
			}
			assert.Equal(t, grantable(issuer, now.Add(tt.after), "edge-a", view, tt.primary), tt.want)
		})
	}
}

// Guards against slots of requests that a server still works on, after the instance that
// sent them is no longer reached.
func TestRequestsOfDepartedInstanceCount(t *testing.T) {
	issuer, now, view := NewSlots(), time.Unix(0, 0), View{Reached: 2, All: 2}
	assert.Equal(t, grantable(issuer, now, "edge-a", view, true), 20)
	issuer.Depart(now, "edge-a")
	assert.Equal(t, grantable(issuer, now.Add(departedHoldTime/2), "edge-b", view, true), 0)
	assert.Equal(t, grantable(issuer, now.Add(departedHoldTime*2), "edge-b", view, true), 20)
}

func TestTimeoutFollowsTheResponseTimes(t *testing.T) {
	tests := []struct {
		name     string
		took     []time.Duration
		min, max time.Duration
	}{
		{"none", nil, firstTimeout, firstTimeout},
		{"fast", []time.Duration{time.Millisecond, 2 * time.Millisecond}, minResponseTimeout, minResponseTimeout},
		{"first one slow", []time.Duration{120 * time.Millisecond}, 120 * time.Millisecond, maxResponseTimeout},
		{"steadily slow", slices.Repeat([]time.Duration{120 * time.Millisecond}, 50), 120 * time.Millisecond, 160 * time.Millisecond},
		{"very slow", slices.Repeat([]time.Duration{800 * time.Millisecond}, 50), maxResponseTimeout, maxResponseTimeout},
		{"lost", []time.Duration{2 * maxResponseTime}, firstTimeout, firstTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, now := NewResponseTimes(), time.Unix(0, 0)
			for i, took := range tt.took {
				r.RecordRequest(now, uint64(i), "edge-a")
				now = now.Add(took)
				r.Expire(now)
				r.RecordResponse(now, uint64(i))
			}
			got := r.Timeout("edge-a")
			assert.Assert(t, got >= tt.min && got <= tt.max, "%v", got)
			assert.Equal(t, r.Timeout("edge-b"), got, "as for the others")
		})
	}
}

// Guards against slots that are granted anew while the server goes on with what an instance
// has abandoned, and against slots that stay unused if it does not.
func TestAbandonedRequestsCountAsTheServerStates(t *testing.T) {
	tests := []struct {
		name    string
		load    int // that the server states, of 20 requests of which 8 are abandoned; -1: none
		granted int
	}{
		{"it goes on", 20, 0},
		{"it drops them", 12, 7},
		{"it drops a half", 16, 3},
		{"it states nothing", -1, 0},
		{"it has others' requests", 30, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			issuer, now, view := NewSlots(), time.Unix(0, 0), View{Reached: 2, All: 2}
			issuer.Report(now, "i-1", Holding{"edge-a", 20, 20})
			issuer.RecordAbandoned(now, "i-1", "edge-a", 8)
			if tt.load >= 0 {
				issuer.RecordLoad(now, "i-1", tt.load)
			}
			assert.Equal(t, grantable(issuer, now, "edge-b", view, true), tt.granted)
		})
	}
}
