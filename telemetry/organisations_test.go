package telemetry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
	"gotest.tools/v3/assert"
)

// TestOrganisationLabelsAreBounded sends operations of 10,000 organisations, three of which
// are large.
func TestOrganisationLabelsAreBounded(t *testing.T) {
	l := newOrganisationLabels()
	now := types.Instant(time.Hour)
	labels := make(map[string]bool)
	for range 10 {
		for i := range 10_000 {
			labels[l.label(types.OrganisationName(fmt.Sprint("small-", i)), now)] = true
			labels[l.label(types.OrganisationName(fmt.Sprint("large-", i%3)), now)] = true
		}
		now = now.Add(rankingInterval)
	}
	assert.DeepEqual(t, labels, map[string]bool{restOfOrganisations: true, "large-0": true, "large-1": true, "large-2": true})
}

// TestLaterOrganisationsShareASeries sends operations of ever new organisations, all of
// which are large for an interval.
func TestLaterOrganisationsShareASeries(t *testing.T) {
	l := newOrganisationLabels()
	now := types.Instant(time.Hour)
	labels := make(map[string]bool)
	for i := range 4 * organisationSeries {
		for range 10 {
			labels[l.label(types.OrganisationName(fmt.Sprint("a", i/2)), now)] = true
		}
		now = now.Add(rankingInterval)
	}
	assert.Equal(t, len(labels), organisationSeries+1)
	assert.Assert(t, labels[restOfOrganisations])
}

func TestOperationsAreCountedByOrganisation(t *testing.T) {
	r, err := New(testOptions())
	assert.NilError(t, err)
	o := finishedRequest()
	o.Organisation, o.BeginsOperation = "mill", true
	r.Observation(o)
	o.Refusal = types.RefuseOverQuota
	r.Observation(o)
	o.BeginsOperation = false // a later statement of a transaction
	r.Observation(o)
	o.Organisation, o.BeginsOperation, o.Refusal = "", true, types.RefuseUnknownKey
	r.Observation(o)
	r.Decision(effect.Decide{Kind: effect.DecideRefuse, Refusal: types.RefuseUnknownKey})
	assert.NilError(t, r.Close(t.Context()))
	rec := httptest.NewRecorder()
	r.Metrics().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var lines []string
	for line := range strings.Lines(rec.Body.String()) {
		if strings.HasPrefix(line, metricPrefix+"_organisation_") || strings.HasPrefix(line, metricPrefix+"_sessions_refused") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	const common = `availability_zone="az-1",`
	const rest = `host="proxy-1",organisation=%q,region="north",role="proxy"} 1`
	assert.DeepEqual(t, lines, []string{
		metricPrefix + "_organisation_operations_total{" + common + fmt.Sprintf(rest, restOfOrganisations),
		metricPrefix + "_organisation_refusals_total{" + common + `code="over_quota",` + fmt.Sprintf(rest, restOfOrganisations),
		metricPrefix + "_organisation_refusals_total{" + common + `code="unknown_key",` + fmt.Sprintf(rest, noOrganisation),
		metricPrefix + "_sessions_refused_total{" + common + `code="unknown_key",host="proxy-1",region="north",role="proxy"} 1`,
	})
}
