package contain_test

import (
	"errors"
	"testing"

	"github.com/camphorpaddle/camphorpaddle/internal/contain"
	"gotest.tools/v3/assert"
)

func TestPanicBecomesAnError(t *testing.T) {
	before := contain.Panics()
	var none []int
	err := contain.Call("the exchange with target a/t1", func() error {
		_ = none[3]
		return nil
	})
	assert.ErrorContains(t, err, "the exchange with target a/t1 panicked")
	assert.Equal(t, contain.Panics(), before+1)
}

func TestErrorsPassThrough(t *testing.T) {
	want := errors.New("refused")
	assert.Equal(t, contain.Call("it", func() error { return want }), want)
	assert.NilError(t, contain.Call("it", func() error { return nil }))
}
