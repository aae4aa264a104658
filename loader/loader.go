package loader

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/pimentowind/pimentowind/parser"
	"github.com/pimentowind/pimentowind/storer"
)

const pollInterval = 300 * time.Millisecond

// objectStore is what the loader needs of the platform.
type objectStore interface {
	Get(ctx context.Context, name string) (storer.Object, error)
	Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
}

// Loader acts for one operator.
type Loader struct {
	store    objectStore
	operator string
	now      func() time.Time
}

// NewLoader returns a Loader whose loads are signed with the operator's name.
func NewLoader(store objectStore, operator string) *Loader {
	return &Loader{store: store, operator: operator, now: time.Now}
}

// ConflictError says that another operator's load came first.
type ConflictError struct {
	Object      string
	Version     uint64
	LoadedBy      string
	Differences []string
}

// Error names the winner and what differs.
func (conflictError *ConflictError) Error() string {
	text := fmt.Sprintf("%s was not loaded: version %d by %q came first", conflictError.Object, conflictError.Version, conflictError.LoadedBy)
	for _, difference := range conflictError.Differences {
		text += "\n  " + difference
	}
	return text
}

// ReusedEndpointsError says that endpoints would move between services too early.
type ReusedEndpointsError struct {
	Findings []string
}

// Error returns one endpoint a line.
func (reusedEndpointsError *ReusedEndpointsError) Error() string {
	text := "sheet was not loaded"
	for _, finding := range reusedEndpointsError.Findings {
		text += "\n  " + finding
	}
	return text
}

// LoadSheet writes the sheet as the next version and returns that version. It
// may be called again after any error: a write whose answer was lost is found
// again by its load ID.
func (loader *Loader) LoadSheet(ctx context.Context, sheet *parser.Sheet) (uint64, error) {
	current, before, err := loader.CurrentSheet(ctx)
	if err != nil {
		return 0, err
	}
	document := SheetDocument{Sheet: *sheet, LoadID: rand.Text(), LoadedBy: loader.operator, LoadedAt: loader.now().UTC()}
	document.RetiredEndpoints = retiredEndpoints(before, sheet, current)
	if err := loader.checkEndpoints(ctx, document, before, current); err != nil {
		return 0, err
	}
	content, err := json.Marshal(document)
	if err != nil {
		return 0, errors.Wrap(err, "encode sheet")
	}
	version, err := loader.write(ctx, SheetObject, current, content, document.LoadID)
	if !errors.Is(err, storer.ErrConflict) {
		return version, err
	}
	version, winner, err := loader.CurrentSheet(ctx)
	if err != nil {
		return 0, err
	}
	return 0, &ConflictError{Object: SheetObject, Version: version, LoadedBy: winner.LoadedBy, Differences: DiffSheets(&winner.Sheet, sheet)}
}

// LoadCalendar writes the calendar as the next version and returns that version.
func (loader *Loader) LoadCalendar(ctx context.Context, calendar *parser.Calendar) (uint64, error) {
	current, err := loader.get(ctx, CalendarObject)
	if err != nil {
		return 0, err
	}
	document := CalendarDocument{Calendar: *calendar, LoadID: rand.Text(), LoadedBy: loader.operator, LoadedAt: loader.now().UTC()}
	content, err := json.Marshal(document)
	if err != nil {
		return 0, errors.Wrap(err, "encode calendar")
	}
	version, err := loader.write(ctx, CalendarObject, current.Version, content, document.LoadID)
	if errors.Is(err, storer.ErrConflict) {
		return 0, &ConflictError{Object: CalendarObject, Version: current.Version + 1, LoadedBy: "another operator"}
	}
	return version, err
}

// CurrentSheet reads the sheet in the platform; version 0 is an empty one.
func (loader *Loader) CurrentSheet(ctx context.Context) (uint64, SheetDocument, error) {
	var document SheetDocument
	object, err := loader.get(ctx, SheetObject)
	if err != nil || object.Version == 0 {
		return 0, document, err
	}
	if err := json.Unmarshal(object.Value, &document); err != nil {
		return 0, document, errors.Wrap(err, "decode sheet")
	}
	return object.Version, document, nil
}

// get reads an object with retries; one that does not exist has version 0.
func (loader *Loader) get(ctx context.Context, name string) (storer.Object, error) {
	return backoff.Retry(ctx, func() (storer.Object, error) {
		object, err := loader.store.Get(ctx, name)
		if errors.Is(err, storer.ErrNotFound) {
			return storer.Object{}, nil
		}
		return object, permanentUnlessUnavailable(err)
	}, backoff.WithMaxElapsedTime(0))
}

// write updates an object with retries. A conflict that our own earlier write
// caused, its answer having been lost, counts as success.
func (loader *Loader) write(ctx context.Context, name string, version uint64, content []byte, loadID string) (uint64, error) {
	return backoff.Retry(ctx, func() (uint64, error) {
		written, err := loader.store.Put(ctx, name, version, content)
		if err == nil {
			return written, nil
		}
		if !errors.Is(err, storer.ErrConflict) {
			return 0, permanentUnlessUnavailable(err)
		}
		object, getErr := loader.store.Get(ctx, name)
		if getErr != nil {
			return 0, permanentUnlessUnavailable(getErr)
		}
		var found struct {
			LoadID string `json:"load_id"`
		}
		if json.Unmarshal(object.Value, &found) == nil && found.LoadID == loadID {
			return object.Version, nil
		}
		return 0, backoff.Permanent(err)
	}, backoff.WithMaxElapsedTime(0))
}

func permanentUnlessUnavailable(err error) error {
	var unavailableError *storer.UnavailableError
	if err == nil || errors.As(err, &unavailableError) {
		return err
	}
	return backoff.Permanent(err)
}
