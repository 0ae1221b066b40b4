package fleet

import "time"

// statedPace is how long work takes on a server's machine, relative to the usual time, as the
// server states it in its responses.
type statedPace struct {
	latest float64 // 0: never stated
	at     time.Time
}

// RecordPace records the pace that a server's response states; 0: none.
func (f *Fleet) RecordPace(now time.Time, id string, pace float64) {
	if s := f.servers[id]; s != nil && pace > 0 {
		s.pace = statedPace{latest: pace, at: now}
	}
}
