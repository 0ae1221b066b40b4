package fleet

// maxRememberedServers is the number of removed, and of leaving, servers that are
// remembered at least, where there were as many.
const maxRememberedServers = 4096

// recent keeps the latest values by server: maxRememberedServers at least, and up to twice
// as many.
type recent[V any] struct {
	latest, earlier map[string]V
}

func (r *recent[V]) put(id string, v V) {
	if r.latest == nil || len(r.latest) >= maxRememberedServers {
		r.latest, r.earlier = make(map[string]V), r.latest
	}
	r.latest[id] = v
}

func (r *recent[V]) get(id string) (v V, ok bool) {
	if v, ok = r.latest[id]; !ok {
		v, ok = r.earlier[id]
	}
	return v, ok
}
