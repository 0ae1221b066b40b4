package main

import (
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/subcommands"
	"gotest.tools/v3/assert"
)

// Guards against arguments that are sent under another name or not at all, and against an error
// of the instance that looks like an answer.
func TestWhereCommand(t *testing.T) {
	var got string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if got = r.URL.RequestURI(); r.FormValue("adapter") == "bad" {
			http.Error(w, "no such adapter", http.StatusBadRequest)
		}
	}))
	t.Cleanup(s.Close)
	instance := s.Listener.Addr().String()
	cases := []struct {
		name string
		args []string
		want subcommands.ExitStatus
		uri  string
	}{
		{"all", []string{"-instance", instance, "-json", "-host", "h", "-path", "/p/", "-tokens", "9,1", "-prefix", "a:5,b:4"}, subcommands.ExitSuccess, "/where?format=json&host=h&path=%2Fp%2F&prefix=a%3A5%2Cb%3A4&tokens=9%2C1"},
		{"refused", []string{"-instance", instance, "-adapter", "bad"}, subcommands.ExitFailure, "/where?adapter=bad"},
		{"no instance", []string{"-adapter", "m/a"}, subcommands.ExitUsageError, ""},
		{"no port", []string{"-instance", "host", "-adapter", "m/a"}, subcommands.ExitUsageError, ""},
		{"further argument", []string{"-instance", instance, "m/a"}, subcommands.ExitUsageError, ""},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			got = ""
			c, f := &whereCommand{}, flag.NewFlagSet("where", flag.ContinueOnError)
			f.SetOutput(io.Discard)
			c.SetFlags(f)
			assert.NilError(t, f.Parse(tt.args))
			assert.Equal(t, c.Execute(t.Context(), f), tt.want)
			assert.Equal(t, got, tt.uri)
		})
	}
}
