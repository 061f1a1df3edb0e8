package outernames

import (
	"path/filepath"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
)

type inner struct {
	A int `codec:"Z" json:"z,omitempty"`
	B []byte
}

type outer struct {
	First  *inner
	Second map[string]inner
	hidden int
	Left   int `codec:"-" json:"-"`
}

func TestDescribeEachFormat(t *testing.T) {
	for _, tc := range []struct {
		format Format
		want   []string
	}{
		{Named, []string{"outer struct", "outer.First* struct", "outer.First*.Z int", "outer.First*.B bytes",
			"outer.Second[string] struct", "outer.Second[string].Z int", "outer.Second[string].B bytes"}},
		{Array, []string{"outer struct", "outer.0 First* struct", "outer.0 First*.0 A int", "outer.0 First*.1 B bytes",
			"outer.1 Second[string] struct", "outer.1 Second[string].0 A int", "outer.1 Second[string].1 B bytes"}},
		{JSON, []string{"outer struct", "outer.First* struct", "outer.First*.z,omitempty int", "outer.First*.B bytes",
			"outer.Second[string] struct", "outer.Second[string].z,omitempty int", "outer.Second[string].B bytes"}},
		{Printed, []string{"outer struct", "outer.First* struct", "outer.First*.A int", "outer.First*.B bytes",
			"outer.Second[string] struct", "outer.Second[string].A int", "outer.Second[string].B bytes",
			"outer.hidden int", "outer.Left int"}},
	} {
		assert.DeepEqual(t, Describe("outer", reflect.TypeFor[outer](), tc.format), tc.want)
	}
}

func TestFillReachesEveryField(t *testing.T) {
	var v outer
	Fill(&v)
	assert.Equal(t, v.First.A, 4)
	assert.Equal(t, len(v.Second), 1)
	assert.Assert(t, v.Left != 0 && v.hidden == 0)
}

func TestDifferenceNamesTheLine(t *testing.T) {
	file := filepath.Join("testdata", "example.txt")
	got, err := Difference(file, []string{"a", "b"})
	assert.NilError(t, err)
	assert.Equal(t, got, "")
	got, err = Difference(file, []string{"a", "c"})
	assert.NilError(t, err)
	assert.Equal(t, got, file+`, line 2: recorded "b", the code has "c"`)
	got, err = Difference(file, []string{"a"})
	assert.NilError(t, err)
	assert.Equal(t, got, file+`, line 2: recorded "b", the code has "(nothing)"`)
}
