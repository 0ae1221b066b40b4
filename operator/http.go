package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/peer"
)

// Backend is the instance behind the operators' interface.
type Backend interface {
	chestnutstream.Dumper
	Document() (chestnutstream.Head, map[string][]byte, bool)
	PutSection(ctx context.Context, team, section string, base uint64, id string, body []byte) (Change, error)
	CheckSection(section string, body []byte) error
	History(ctx context.Context) ([]Change, error)
	InForce() map[string]uint64
	Explain(subject string) []chestnutstream.Decision
}

// Server is the operators' interface of an instance.
type Server struct {
	Secret  string
	Backend Backend
}

// Credential returns the bearer token of a team under the operators' secret.
func Credential(secret, team string) string {
	return team + ":" + peer.Sign(secret, "operator", team)
}

// Handle adds the operators' paths to a router.
func Handle(r *mux.Router, s Server) {
	r.HandleFunc("/configuration", s.auth(s.get)).Methods(http.MethodGet)
	r.HandleFunc("/configuration/check", s.auth(s.check)).Methods(http.MethodPost)
	r.HandleFunc("/configuration/section", s.auth(s.put)).Methods(http.MethodPut)
	r.HandleFunc("/configuration/history", s.auth(s.history)).Methods(http.MethodGet)
	r.HandleFunc("/configuration/status", s.auth(s.status)).Methods(http.MethodGet)
	r.HandleFunc("/dump", s.auth(s.dump)).Methods(http.MethodGet)
	r.HandleFunc("/explain", s.auth(s.explain)).Methods(http.MethodGet)
}

type handler func(w http.ResponseWriter, r *http.Request, team string)

// auth lets teams with a valid credential in.
func (s Server) auth(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		team, sum, ok := strings.Cut(token, ":")
		if !ok || !chestnutstream.ValidName(team) || !peer.Verify(s.Secret, sum, "operator", team) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			fail(w, http.StatusUnauthorized, "not-authenticated", "want the credential of a team: Bearer TEAM:SIGNATURE")
			return
		}
		next(w, r, team)
	}
}

// WireError is the JSON of an error.
type WireError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func fail(w http.ResponseWriter, status int, code, message string) {
	reply(w, status, WireError{code, message})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// get returns the document in force, or one section with its revision.
func (s Server) get(w http.ResponseWriter, r *http.Request, _ string) {
	head, sections, ok := s.Backend.Document()
	if !ok {
		fail(w, http.StatusServiceUnavailable, "no-configuration", "this instance has no configuration yet")
		return
	}
	w.Header().Set("Chestnutstream-Configuration-Revision", strconv.FormatUint(head.Revision, 10))
	name := r.URL.Query().Get("section")
	if name == "" {
		w.Header().Set("Content-Type", "application/yaml")
		_, _ = w.Write(JoinDocument(head, sections))
		return
	}
	body, ok := sections[name]
	if !ok {
		fail(w, http.StatusNotFound, "unknown-section", fmt.Sprintf("no section %q at revision %d", name, head.Revision))
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set("Chestnutstream-Section-Revision", strconv.FormatUint(head.Sections[name].Revision, 10))
	_, _ = w.Write(body)
}

// JoinDocument writes the sections as one YAML document.
func JoinDocument(head chestnutstream.Head, sections map[string][]byte) []byte {
	names := make([]string, 0, len(sections))
	for name := range sections {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	fmt.Fprintf(&b, "# revision %d\n", head.Revision)
	for _, name := range names {
		fmt.Fprintf(&b, "# section revision %d\n%s:\n", head.Sections[name].Revision, name)
		for _, line := range strings.Split(strings.TrimRight(string(sections[name]), "\n"), "\n") {
			b.WriteString("  " + line + "\n")
		}
	}
	return []byte(b.String())
}

func (s Server) check(w http.ResponseWriter, r *http.Request, _ string) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	if err := s.Backend.CheckSection(r.URL.Query().Get("section"), body); err != nil {
		fail(w, http.StatusUnprocessableEntity, "invalid", err.Error())
		return
	}
	reply(w, http.StatusOK, map[string]string{"result": "valid"})
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxSectionBytes))
	if err != nil {
		fail(w, http.StatusRequestEntityTooLarge, "body-too-large", fmt.Sprintf("a section has at most %d bytes", MaxSectionBytes))
		return nil, false
	}
	return body, true
}

// WireChange is the JSON of an accepted change.
type WireChange struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	Section  string `json:"section"`
	Team     string `json:"team"`
	Base     uint64 `json:"base"`
	At       string `json:"at"`
}

func wireOf(c Change) WireChange {
	return WireChange{c.ID, c.Revision, c.Section, c.Team, c.Base, c.At.UTC().Format("2006-01-02T15:04:05.000Z")}
}

// put changes a section: ?section=NAME&base=REVISION&change=ID.
func (s Server) put(w http.ResponseWriter, r *http.Request, team string) {
	q := r.URL.Query()
	base, err := strconv.ParseUint(q.Get("base"), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, "bad-base", "base: want the section's revision that the change was made from, 0 for a new section")
		return
	}
	id := q.Get("change")
	if !chestnutstream.ValidName(id) {
		fail(w, http.StatusBadRequest, "bad-change", "change: want an id of letters, digits, '-', '_' or '.', unique to this change")
		return
	}
	section := q.Get("section")
	if !ValidSection(section) {
		fail(w, http.StatusBadRequest, "unknown-section", fmt.Sprintf("no section may be named %.80q", section))
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	change, err := s.Backend.PutSection(r.Context(), team, section, base, id, body)
	if err != nil {
		status, code := putStatus(err)
		fail(w, status, code, err.Error())
		return
	}
	reply(w, http.StatusOK, wireOf(change))
}

func putStatus(err error) (int, string) {
	var conflict *ConflictError
	var invalid *DocumentError
	var notOwner *NotOwnerError
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict, "conflict"
	case errors.As(err, &invalid):
		return http.StatusUnprocessableEntity, "invalid"
	case errors.As(err, &notOwner):
		return http.StatusForbidden, "not-owner"
	default:
		return http.StatusServiceUnavailable, "not-known"
	}
}

func (s Server) history(w http.ResponseWriter, r *http.Request, _ string) {
	changes, err := s.Backend.History(r.Context())
	if err != nil {
		fail(w, http.StatusServiceUnavailable, "platform-unavailable", err.Error())
		return
	}
	out := make([]WireChange, 0, len(changes))
	for _, c := range changes {
		out = append(out, wireOf(c))
	}
	reply(w, http.StatusOK, out)
}

func (s Server) status(w http.ResponseWriter, _ *http.Request, _ string) {
	reply(w, http.StatusOK, s.Backend.InForce())
}

func (s Server) dump(w http.ResponseWriter, _ *http.Request, _ string) {
	w.Header().Set("Content-Type", "application/json")
	_ = s.Backend.Dump(w)
}

// WireDecision is the JSON of a decision.
type WireDecision struct {
	At      string `json:"at"`
	Subject string `json:"subject"`
	Step    string `json:"step"`
	Detail  string `json:"detail"`
}

// explain returns the decisions on ?subject=, a request id or a server.
func (s Server) explain(w http.ResponseWriter, r *http.Request, _ string) {
	subject, err := url.QueryUnescape(r.URL.Query().Get("subject"))
	if err != nil {
		fail(w, http.StatusBadRequest, "bad-subject", err.Error())
		return
	}
	out := []WireDecision{}
	for _, d := range s.Backend.Explain(subject) {
		out = append(out, WireDecision{d.At.UTC().Format("15:04:05.000"), d.Subject, d.Step, d.Detail})
	}
	reply(w, http.StatusOK, out)
}
