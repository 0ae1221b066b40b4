package quarantine

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// RowPrefix begins the keys of the rows that keep the evidence of verdicts in the
// platform's store, for the case that all instances end.
const RowPrefix = "quarantine/"

// wireRow is the form of a row. Times are Unix milliseconds, 0 for none.
type wireRow struct {
	Service    string      `json:"service"`
	Trait      string      `json:"trait"`
	Crashes    []wireCrash `json:"crashes"`
	SurvivedMS int64       `json:"survived-ms,omitempty"`
	ProbedMS   int64       `json:"probed-ms,omitempty"`
	Probes     int         `json:"probes,omitempty"`
}

type wireCrash struct {
	Server     string   `json:"server"`
	Born       int64    `json:"born"`
	AtMS       int64    `json:"at-ms"`
	Weight     float64  `json:"weight"`
	Companions []string `json:"companions,omitempty"`
}

// RowKey returns the key of a trait's row.
func RowKey(t Trait) string { return RowPrefix + strconv.FormatUint(t.hash(), 16) }

// EncodeRow returns the value of the row of a verdict.
func EncodeRow(e Evidence) ([]byte, error) {
	w := wireRow{Service: e.Trait.Service, Trait: e.Trait.ID, SurvivedMS: unixMS(e.SurvivedAt), ProbedMS: unixMS(e.ProbedAt), Probes: e.Probes}
	for _, c := range e.Crashes {
		w.Crashes = append(w.Crashes, wireCrash{Server: c.Server, Born: c.Born, AtMS: unixMS(c.At), Weight: c.Weight, Companions: c.Companions})
	}
	value, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode evidence on %s: %w", e.Trait.ID, err)
	}
	return value, nil
}

// DecodeRow returns the evidence of a row. Times in the future, by a clock that has been
// set back since, count as now.
func DecodeRow(now time.Time, value []byte) (Evidence, error) {
	var w wireRow
	if err := json.Unmarshal(value, &w); err != nil {
		return Evidence{}, fmt.Errorf("decode evidence: %w", err)
	}
	if w.Service == "" || w.Trait == "" {
		return Evidence{}, fmt.Errorf("decode evidence: no service or trait")
	}
	e := Evidence{Trait: Trait{w.Service, w.Trait}, SurvivedAt: fromUnixMS(now, w.SurvivedMS), ProbedAt: fromUnixMS(now, w.ProbedMS), Probes: w.Probes}
	for _, c := range w.Crashes {
		e.Crashes = append(e.Crashes, Crash{Server: c.Server, Born: c.Born, At: fromUnixMS(now, c.AtMS), Weight: c.Weight, Companions: c.Companions})
	}
	return e, nil
}

func unixMS(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromUnixMS(now time.Time, ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(-max(now.Sub(time.UnixMilli(ms)), 0))
}
