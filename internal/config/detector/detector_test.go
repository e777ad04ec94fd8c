package detector

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// TestDetect guards against a process without bounds because its settings state none, and against one that takes all of a VM that
// it shares.
func TestDetect(t *testing.T) {
	data, err := os.ReadFile("testdata/allowances.json")
	require.NoError(t, err)
	var cases []struct {
		Name                  string       `json:"name"`
		Memory                jaygw.Bytes  `json:"memory"`
		FileDescriptors       int          `json:"file-descriptors"`
		Surroundings          Surroundings `json:"surroundings"`
		WantMemory            jaygw.Bytes  `json:"want-memory"`
		WantMemorySource      Source       `json:"want-memory-source"`
		WantDescriptors       int          `json:"want-descriptors"`
		WantDescriptorsSource Source       `json:"want-descriptors-source"`
	}
	require.NoError(t, json.Unmarshal(data, &cases))
	for _, c := range cases {
		settings := jaygw.NodeSettings{Memory: c.Memory, FileDescriptors: c.FileDescriptors}
		want := Allowance{c.WantMemory, c.WantMemorySource, c.WantDescriptors, c.WantDescriptorsSource}
		require.Equal(t, want, Detect(settings, func() Surroundings { return c.Surroundings }), c.Name)
	}
}

// TestLook guards against surroundings that cannot be read on this kind of machine.
func TestLook(t *testing.T) {
	a := Detect(jaygw.NodeSettings{}, Look)
	require.Positive(t, a.Memory)
	require.Positive(t, a.FileDescriptors)
}
