package quarantine

import (
	"slices"
	"time"
)

// maxCrashTimes is the number of crashes that a crashTimes keeps.
const maxCrashTimes = 4096

// process identifies a process of a server.
type process struct {
	server string
	born   int64
}

// crashTimes are the times of the known crashes of a service's servers. The zero value
// is ready for use.
type crashTimes struct {
	sorted []time.Time
	known  map[process]time.Time
}

// record adds a crash that is not known yet.
func (t *crashTimes) record(c Crash) {
	p := process{c.Server, c.Born}
	if _, ok := t.known[p]; ok {
		return
	}
	if t.known == nil {
		t.known = map[process]time.Time{}
	}
	t.known[p] = c.At
	t.sorted = slices.Insert(t.sorted, t.firstFrom(c.At), c.At)
	if len(t.sorted) > maxCrashTimes {
		t.expire(t.sorted[len(t.sorted)/2])
	}
}

// expire drops the crashes before a moment.
func (t *crashTimes) expire(before time.Time) {
	if len(t.sorted) == 0 || !t.sorted[0].Before(before) {
		return
	}
	t.sorted = slices.Delete(t.sorted, 0, t.firstFrom(before))
	for p, at := range t.known {
		if at.Before(before) {
			delete(t.known, p)
		}
	}
}

// between returns the number of crashes in a period, both ends included.
func (t *crashTimes) between(from, to time.Time) int {
	return t.firstFrom(to.Add(1)) - t.firstFrom(from)
}

// firstFrom returns the index of the first crash at or after a moment.
func (t *crashTimes) firstFrom(at time.Time) int {
	i, _ := slices.BinarySearchFunc(t.sorted, at, time.Time.Compare)
	return i
}

// weight returns the combined weight of the crashes against a trait, which are in order
// of time. The crashes of an event count once, in proportion to its servers that had
// the trait: a trait that one of many had is hardly the cause.
func (t *crashTimes) weight(crashes []Crash) float64 {
	total := 0.0
	for len(crashes) > 0 {
		n, highest := 0, 0.0
		for n < len(crashes) && crashes[n].At.Sub(crashes[0].At) < commonCauseWindow {
			highest = max(highest, crashes[n].Weight)
			n++
		}
		all := t.between(crashes[0].At.Add(-commonCauseWindow), crashes[n-1].At.Add(commonCauseWindow))
		total += highest * float64(n) / float64(max(all, n))
		crashes = crashes[n:]
	}
	return total
}
