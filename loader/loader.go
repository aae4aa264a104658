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

// pollInterval is the interval at which Wait reads the progress.
const pollInterval = 300 * time.Millisecond

// objectStore is the part of the platform's store that Loader uses.
type objectStore interface {
	Get(ctx context.Context, name string) (storer.Object, error)
	Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
}

// Loader loads sheets and calendars for one operator.
type Loader struct {
	store    objectStore
	operator string
	now      func() time.Time
}

// NewLoader returns a Loader that records operator as the author of its loads.
func NewLoader(store objectStore, operator string) *Loader {
	return &Loader{store: store, operator: operator, now: time.Now}
}

// ConflictError reports that another load wrote the object first.
type ConflictError struct {
	Object      string
	Version     uint64 // of the object that was written first
	LoadedBy    string
	Differences []string
}

// Error names the object, the version and the operator that was first, and lists the
// differences, one a line.
func (conflictError *ConflictError) Error() string {
	text := fmt.Sprintf("%s was not loaded: version %d by %q came first", conflictError.Object, conflictError.Version, conflictError.LoadedBy)
	for _, difference := range conflictError.Differences {
		text += "\n  " + difference
	}
	return text
}

// ReusedEndpointsError reports endpoints that may not move to another service yet.
type ReusedEndpointsError struct {
	Findings []string
}

// Error lists the endpoints, one a line.
func (reusedEndpointsError *ReusedEndpointsError) Error() string {
	text := "sheet was not loaded"
	for _, finding := range reusedEndpointsError.Findings {
		text += "\n  " + finding
	}
	return text
}

// LoadSheet writes the sheet as the next version and returns that version. While the
// store is unavailable it retries until ctx ends; a write whose answer was lost is
// recognized by its load ID. The error is a ConflictError if another load was first,
// and a ReusedEndpointsError if an endpoint moves between services too early.
// LoadSheet may be called again after any error.
func (loader *Loader) LoadSheet(ctx context.Context, sheet *parser.Sheet) (uint64, error) {
	currentVersion, previous, err := loader.CurrentSheet(ctx)
	if err != nil {
		return 0, err
	}
	document := SheetDocument{Sheet: *sheet, LoadID: rand.Text(), LoadedBy: loader.operator, LoadedAt: loader.now().UTC()}
	document.RetiredEndpoints = retiredEndpoints(previous, sheet, currentVersion)
	if err := loader.checkEndpoints(ctx, document, previous, currentVersion); err != nil {
		return 0, err
	}
	content, err := json.Marshal(document)
	if err != nil {
		return 0, errors.Wrap(err, "encode sheet")
	}
	version, err := loader.write(ctx, SheetObject, currentVersion, content, document.LoadID)
	if !errors.Is(err, storer.ErrConflict) {
		return version, err
	}
	version, stored, err := loader.CurrentSheet(ctx)
	if err != nil {
		return 0, err
	}
	return 0, &ConflictError{Object: SheetObject, Version: version, LoadedBy: stored.LoadedBy, Differences: DiffSheets(&stored.Sheet, sheet)}
}

// LoadCalendar writes the calendar as the next version and returns that version. It
// retries as LoadSheet does; the error is a ConflictError if another load was first.
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

// CurrentSheet returns the sheet in the store and its version, which is 0 if there is none.
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

// get reads an object and retries while the store is unavailable; an object that does
// not exist has version 0.
func (loader *Loader) get(ctx context.Context, name string) (storer.Object, error) {
	return backoff.Retry(ctx, func() (storer.Object, error) {
		object, err := loader.store.Get(ctx, name)
		if errors.Is(err, storer.ErrNotFound) {
			return storer.Object{}, nil
		}
		return object, permanentUnlessUnavailable(err)
	}, backoff.WithMaxElapsedTime(0))
}

// write updates an object and retries while the store is unavailable. A conflict with an earlier
// attempt of the same write, whose answer was lost, counts as success.
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
		var stored struct {
			LoadID string `json:"load_id"`
		}
		if json.Unmarshal(object.Value, &stored) == nil && stored.LoadID == loadID {
			return object.Version, nil
		}
		return 0, backoff.Permanent(err)
	}, backoff.WithMaxElapsedTime(0))
}

// permanentUnlessUnavailable stops the retries on every error other than an unavailable store.
func permanentUnlessUnavailable(err error) error {
	var unavailableError *storer.UnavailableError
	if err == nil || errors.As(err, &unavailableError) {
		return err
	}
	return backoff.Permanent(err)
}
