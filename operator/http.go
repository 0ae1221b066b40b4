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

// Backend provides the state and operations of an instance to the operators'
// interface. Document returns the active document and false if there is none;
// ActiveRevisions returns the active revision of each instance by name, 0 if unknown.
type Backend interface {
	chestnutstream.Dumper
	Document() (chestnutstream.Head, map[string][]byte, bool)
	PutSection(ctx context.Context, team, section string, base uint64, id string, body []byte) (Change, error)
	CheckSection(section string, body []byte) error
	History(ctx context.Context) ([]Change, error)
	ActiveRevisions() map[string]uint64
	Explain(subject string) []chestnutstream.TraceEvent
}

// Server serves the operators' interface of an instance. Secret verifies the
// teams' credentials.
type Server struct {
	Secret  string
	Backend Backend
}

// Credential returns a team's bearer token, TEAM:SIGNATURE, signed with the
// operators' secret.
func Credential(secret, team string) string {
	return team + ":" + peer.Sign(secret, "operator", team)
}

// Handle registers the operators' endpoints on r.
func Handle(r *mux.Router, s Server) {
	r.HandleFunc("/configuration", s.requireTeam(s.getDocument)).Methods(http.MethodGet)
	r.HandleFunc("/configuration/check", s.requireTeam(s.checkSection)).Methods(http.MethodPost)
	r.HandleFunc("/configuration/section", s.requireTeam(s.putSection)).Methods(http.MethodPut)
	r.HandleFunc("/configuration/history", s.requireTeam(s.getHistory)).Methods(http.MethodGet)
	r.HandleFunc("/configuration/status", s.requireTeam(s.getStatus)).Methods(http.MethodGet)
	r.HandleFunc("/dump", s.requireTeam(s.getDump)).Methods(http.MethodGet)
	r.HandleFunc("/explain", s.requireTeam(s.getExplain)).Methods(http.MethodGet)
}

type teamHandler func(w http.ResponseWriter, r *http.Request, team string)

// requireTeam passes requests with a valid credential to next, with the team's
// name, and rejects all others.
func (s Server) requireTeam(next teamHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		team, signature, ok := strings.Cut(token, ":")
		if !ok || !chestnutstream.ValidName(team) || !peer.Verify(s.Secret, signature, "operator", team) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, "not-authenticated", "want the credential of a team: Bearer TEAM:SIGNATURE")
			return
		}
		next(w, r, team)
	}
}

// WireError is the JSON body of an error response.
type WireError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, WireError{code, message})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// getDocument returns the active document, or the section named by ?section=
// with its revision.
func (s Server) getDocument(w http.ResponseWriter, r *http.Request, _ string) {
	head, sections, ok := s.Backend.Document()
	if !ok {
		writeError(w, http.StatusServiceUnavailable, "no-configuration", "this instance has no configuration yet")
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
		writeError(w, http.StatusNotFound, "unknown-section", fmt.Sprintf("no section %q at revision %d", name, head.Revision))
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set("Chestnutstream-Section-Revision", strconv.FormatUint(head.Sections[name].Revision, 10))
	_, _ = w.Write(body)
}

// JoinDocument formats the sections as one YAML document, with revisions as
// comments.
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

func (s Server) checkSection(w http.ResponseWriter, r *http.Request, _ string) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	if err := s.Backend.CheckSection(r.URL.Query().Get("section"), body); err != nil {
		writeError(w, http.StatusUnprocessableEntity, "invalid", err.Error())
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"result": "valid"})
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxSectionBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "body-too-large", fmt.Sprintf("a section has at most %d bytes", MaxSectionBytes))
		return nil, false
	}
	return body, true
}

// WireChange is the JSON form of an accepted change.
type WireChange struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	Section  string `json:"section"`
	Team     string `json:"team"`
	Base     uint64 `json:"base"`
	At       string `json:"at"`
}

func toWireChange(c Change) WireChange {
	return WireChange{c.ID, c.Revision, c.Section, c.Team, c.Base, c.At.UTC().Format("2006-01-02T15:04:05.000Z")}
}

// putSection changes a section: ?section=NAME&base=REVISION&change=ID.
func (s Server) putSection(w http.ResponseWriter, r *http.Request, team string) {
	q := r.URL.Query()
	base, err := strconv.ParseUint(q.Get("base"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad-base", "base: want the section's revision that the change was made from, 0 for a new section")
		return
	}
	id := q.Get("change")
	if !chestnutstream.ValidName(id) {
		writeError(w, http.StatusBadRequest, "bad-change", "change: want an id of letters, digits, '-', '_' or '.', unique to this change")
		return
	}
	section := q.Get("section")
	if !ValidSection(section) {
		writeError(w, http.StatusBadRequest, "unknown-section", fmt.Sprintf("no section may be named %.80q", section))
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	change, err := s.Backend.PutSection(r.Context(), team, section, base, id, body)
	if err != nil {
		status, code := putStatus(err)
		writeError(w, status, code, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, toWireChange(change))
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

func (s Server) getHistory(w http.ResponseWriter, r *http.Request, _ string) {
	changes, err := s.Backend.History(r.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "platform-unavailable", err.Error())
		return
	}
	out := make([]WireChange, 0, len(changes))
	for _, c := range changes {
		out = append(out, toWireChange(c))
	}
	writeJSON(w, http.StatusOK, out)
}

func (s Server) getStatus(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, s.Backend.ActiveRevisions())
}

func (s Server) getDump(w http.ResponseWriter, _ *http.Request, _ string) {
	w.Header().Set("Content-Type", "application/json")
	_ = s.Backend.Dump(w)
}

// WireTraceEvent is the JSON form of a trace event.
type WireTraceEvent struct {
	At      string `json:"at"`
	Subject string `json:"subject"`
	Step    string `json:"step"`
	Detail  string `json:"detail"`
}

// getExplain returns the trace events of ?subject=, a request id or a server.
func (s Server) getExplain(w http.ResponseWriter, r *http.Request, _ string) {
	subject, err := url.QueryUnescape(r.URL.Query().Get("subject"))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad-subject", err.Error())
		return
	}
	out := []WireTraceEvent{}
	for _, event := range s.Backend.Explain(subject) {
		out = append(out, WireTraceEvent{event.At.UTC().Format("15:04:05.000"), event.Subject, event.Step, event.Detail})
	}
	writeJSON(w, http.StatusOK, out)
}
