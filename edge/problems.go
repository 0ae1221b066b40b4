package edge

import (
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
)

// Limits of the log lines about rows that cannot be used. Their writers may write them
// again every second.
const (
	problemInterval       = 10 * time.Second // between two lines about different problems of a row
	problemRepeat         = 10 * time.Minute // between two lines about the same problem of a row
	maxProblemsPerMinute  = 30               // lines about all rows
	maxRememberedProblems = 1024
	maxLoggedError        = 300 // bytes: an error may quote the row
)

// rowProblems decides which problems of rows are logged. The zero value is ready for use.
type rowProblems struct {
	mu     sync.Mutex
	byRow  map[string]rowProblem
	minute time.Time // begin of the minute of lines
	lines  int
}

// rowProblem is the problem of a row that was logged last.
type rowProblem struct {
	hash uint64 // of the error
	at   time.Time
}

// report reports whether the problem of a row is to be logged now.
func (p *rowProblems) report(now time.Time, row string, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	hash, old := xxhash.Sum64String(err.Error()), p.byRow[row]
	age := now.Sub(old.at)
	if age < problemInterval || (hash == old.hash && age < problemRepeat) {
		return false
	}
	if now.Sub(p.minute) >= time.Minute {
		p.minute, p.lines = now, 0
	}
	if p.lines >= maxProblemsPerMinute {
		return false
	}
	p.lines++
	if p.byRow == nil || len(p.byRow) >= maxRememberedProblems {
		p.byRow = map[string]rowProblem{}
	}
	p.byRow[row] = rowProblem{hash, now}
	return true
}

// rowProblem counts a row that cannot be used. It returns the logger for a line about it;
// ok is false if none is due.
func (n *Node) rowProblem(table, key string, err error) (l log.Interface, ok bool) {
	n.metrics.GetOrCreateCounter(`chestnutstream_unusable_rows_total{table="` + table + `"}`).Inc()
	if !n.problems.report(n.now(), table+"/"+key, err) {
		return nil, false
	}
	return n.log.WithFields(log.Fields{"table": table, "key": key, "error": fmt.Sprintf("%.*v", maxLoggedError, err)}), true
}

// logForeignRow logs a row that cannot be decoded, in a table that instances write.
func (n *Node) logForeignRow(table, key string, err error) {
	if l, ok := n.rowProblem(table, key, err); ok {
		l.Warn("malformed or foreign row")
	}
}
