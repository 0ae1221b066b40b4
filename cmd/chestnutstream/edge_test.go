package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSettingsFileStamp(t *testing.T) {
	c := &edgeCommand{path: filepath.Join(t.TempDir(), "boot.yaml")}
	none := c.stamp()
	assert.NilError(t, os.WriteFile(c.path, []byte("a: 1\n"), 0o600))
	first := c.stamp()
	assert.Assert(t, first != none)
	assert.Equal(t, c.stamp(), first)
	assert.NilError(t, os.WriteFile(c.path, []byte("a: 1\nb: 2\n"), 0o600))
	assert.Assert(t, c.stamp() != first)
}
