package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against missed reloads: the platform changes the settings file without a
// signal, so creating it or writing it must change its state.
func TestSettingsFileStateChanges(t *testing.T) {
	c := &edgeCommand{settingsPath: filepath.Join(t.TempDir(), "boot.yaml")}
	missing := c.fileState()
	assert.NilError(t, os.WriteFile(c.settingsPath, []byte("a: 1\n"), 0o600))
	first := c.fileState()
	assert.Assert(t, first != missing)
	assert.Equal(t, c.fileState(), first)
	assert.NilError(t, os.WriteFile(c.settingsPath, []byte("a: 1\nb: 2\n"), 0o600))
	assert.Assert(t, c.fileState() != first)
}
