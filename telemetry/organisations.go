package telemetry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/effect"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

const (
	// organisationSeries is the number of organisations that get series of their own.
	organisationSeries = 50
	// rankingInterval is the time between two choices of organisations that get series.
	rankingInterval = 10 * time.Second
	// restOfOrganisations is the label of all other organisations.
	restOfOrganisations = "_rest"
	// noOrganisation is the label of callers whose key is not known.
	noOrganisation = "_unknown"
)

// organisationLabels chooses which organisations get series of their own, so that their
// number is bounded however many there are. An organisation gets one when it has sent its
// part of the operations in an interval, and keeps it, as a series can't be taken back.
type organisationLabels struct {
	named    map[types.OrganisationName]bool
	counts   map[types.OrganisationName]int // operations in this interval of those without a series
	total    int                            // operations in this interval
	rankedAt types.Instant
}

func newOrganisationLabels() *organisationLabels {
	return &organisationLabels{
		named: make(map[types.OrganisationName]bool), counts: make(map[types.OrganisationName]int),
	}
}

// label returns the label of an organisation that sends an operation at now.
func (l *organisationLabels) label(name types.OrganisationName, now types.Instant) string {
	if now.Sub(l.rankedAt) >= rankingInterval {
		l.rank()
		l.rankedAt = now
	}
	l.total++
	if l.named[name] {
		return string(name)
	}
	l.counts[name]++
	return restOfOrganisations
}

// rank gives series to the largest organisations of the interval that sent at least their
// part of its operations.
func (l *organisationLabels) rank() {
	largest := slices.SortedFunc(maps.Keys(l.counts), func(a, b types.OrganisationName) int {
		return cmp.Or(cmp.Compare(l.counts[b], l.counts[a]), cmp.Compare(a, b))
	})
	for _, name := range largest {
		if len(l.named) == organisationSeries || l.counts[name]*organisationSeries < l.total {
			break
		}
		l.named[name] = true
	}
	clear(l.counts)
	l.total = 0
}

// recordOperation counts an operation by its organisation. The statements of a transaction
// after its first belong to the same operation.
func (m *metrics) recordOperation(o *effect.Observation) {
	var label string
	switch {
	case !o.BeginsOperation:
		return
	case o.Organisation != "":
		label = m.organisations.label(o.Organisation, o.DoneAt)
	case o.Refusal == types.RefuseUnknownKey:
		label = noOrganisation
	default:
		return
	}
	scope := m.scope.Tagged(map[string]string{"organisation": label})
	if o.Refusal == 0 {
		scope.Counter("organisation_operations_total").Inc(1)
		return
	}
	scope.Tagged(map[string]string{"code": refusalName(o.Refusal)}).Counter("organisation_refusals_total").Inc(1)
}
