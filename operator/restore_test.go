package operator_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/operator"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
)

// Guards against instances that keep a lost revision in force because its number, or a lower
// one, is given out again.
func TestChangesAfterARestoreAreAdopted(t *testing.T) {
	for _, hidden := range []bool{false, true} {
		t.Run(fmt.Sprint("era hidden at first: ", hidden), func(t *testing.T) {
			rows := standin.NewStore()
			server := httptest.NewServer(rows)
			defer server.Close()
			client := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), time.Second, nil)
			store := operator.NewStore(client, client, time.Now)
			adoption := operator.NewAdoption()
			changes := 0
			put := func(base uint64, urgency int) (operator.Change, error) {
				changes++
				body := fmt.Appendf(nil, "- {name: c, urgency: %d, timeout-ms: 1000, queue-limit: 5}\n", urgency)
				adoption.Step(operator.ContentReceived{Section: "classes", Bytes: body})
				return store.Put(t.Context(), "team", "classes", base, fmt.Sprint("change-", changes), body)
			}
			inForce := func() int {
				head, err := store.Head(t.Context())
				assert.NilError(t, err)
				adoption.Step(operator.HeadReceived{Head: head})
				return adoption.Current().Classes["c"].Urgency
			}
			rows.HideEra(hidden)
			first, err := put(0, 1)
			assert.NilError(t, err)
			older := rows.Copy()
			lost, err := put(first.Revision, 2)
			assert.NilError(t, err)
			assert.Equal(t, lost.Revision, first.Revision+1)
			lost, err = put(lost.Revision, 3)
			assert.NilError(t, err)
			assert.Equal(t, inForce(), 3)
			rows.HideEra(false)
			given := map[uint64]bool{lost.Revision: true, lost.Revision - 1: true}
			for urgency := 4; urgency < 7; urgency++ {
				rows.Restore(older)
				assert.Equal(t, inForce(), urgency-1, "the lost revision stays in force")
				_, err = put(lost.Revision, urgency)
				var conflict *operator.ConflictError
				assert.Assert(t, errors.As(err, &conflict), "%v", err)
				assert.Equal(t, conflict.Current, first.Revision)
				assert.Assert(t, strings.Contains(err.Error(), "has lost it"), err.Error())
				lost, err = put(conflict.Current, urgency)
				assert.NilError(t, err)
				assert.Assert(t, !given[lost.Revision], "revision %d is given out again", lost.Revision)
				given[lost.Revision] = true
				assert.Equal(t, inForce(), urgency)
			}
		})
	}
}

// Guards against sections that go back while only others have been put again.
func TestNoSectionGoesBackOverARestore(t *testing.T) {
	rows := standin.NewStore()
	server := httptest.NewServer(rows)
	defer server.Close()
	client := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), time.Second, nil)
	store := operator.NewStore(client, client, time.Now)
	adoption, late := operator.NewAdoption(), operator.NewAdoption()
	changes := 0
	put := func(section string, base uint64, body string) operator.Change {
		changes++
		for _, a := range []*operator.Adoption{adoption, late} {
			a.Step(operator.ContentReceived{Section: section, Bytes: []byte(body)})
		}
		c, err := store.Put(t.Context(), "team", section, base, fmt.Sprint("change-", changes), []byte(body))
		assert.NilError(t, err)
		return c
	}
	adopt := func(a *operator.Adoption) (queue int) {
		head, err := store.Head(t.Context())
		assert.NilError(t, err)
		for _, m := range a.Step(operator.HeadReceived{Head: head}).Missing {
			b, err := store.Content(t.Context(), m.Hash)
			assert.NilError(t, err)
			a.Step(operator.ContentReceived{Section: m.Section, Bytes: b})
		}
		return a.Current().Limits.QueueTotal
	}
	empty := rows.Copy()
	limits := put("limits", 0, "queue-total: 1\n")
	classes := put("classes", 0, "- {name: c, urgency: 1, timeout-ms: 1000, queue-limit: 5}\n")
	older := rows.Copy()
	limits = put("limits", limits.Revision, "queue-total: 2\n")
	assert.Equal(t, adopt(adoption), 2)
	for _, c := range []*standin.StoreCopy{older, empty} {
		rows.Restore(c)
		head, err := store.Head(t.Context())
		assert.NilError(t, err)
		if head.Revision > 0 {
			classes = put("classes", classes.Revision, "- {name: c, urgency: 2, timeout-ms: 1000, queue-limit: 5}\n")
		}
		assert.Equal(t, adopt(adoption), 2, "before the sections are written again")
		assert.NilError(t, store.Rewrite(t.Context(), adoption.Current().Head, adoption.Content))
		assert.Equal(t, adopt(adoption), 2)
		assert.Equal(t, adopt(late), 2, "an instance without the lost revision")
		head, err = store.Head(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, adoption.Current().Revision(), head.Revision)
		assert.Equal(t, head.Sections["limits"].Revision, limits.Revision, "later puts are based on the lost revision")
	}
	assert.Equal(t, adoption.Current().Classes["c"].Urgency, 2)
}
