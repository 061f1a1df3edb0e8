package configuration

import (
	"fmt"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/core/proto"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/internal/outernames"
	"gotest.tools/v3/assert"
)

// TestHashedNames compares the fields that the digest of a change prints, and the
// digest of a filled change, to those on record. Control hosts whose programs
// differ would answer a repeated change differently.
func TestHashedNames(t *testing.T) {
	var lines []string
	for i, v := range []any{types.Service{}, types.Profile{}, types.Route{}} {
		root := []string{"service", "profile", "route"}[i]
		lines = append(lines, outernames.Describe(root, reflect.TypeOf(v), outernames.Printed)...)
	}
	var c proto.ChangeConfig
	outernames.Fill(&c)
	lines = append(lines, fmt.Sprintf("%+v %+v %+v", c.Config.Services, c.Config.Profiles, c.Config.Routes),
		fmt.Sprint(digest(c)))
	got, err := outernames.Difference(filepath.Join("testdata", "hashed_names.txt"), lines)
	assert.NilError(t, err)
	assert.Equal(t, got, "")
}
