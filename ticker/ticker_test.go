package ticker

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSubscribersAreCalledAtTheirIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ticker, stop := NewTicker()
		defer stop()
		fast, slow := 0, 0
		ticker.Subscribe(Resolution, func(time.Time) { fast++ })
		unsubscribe := ticker.Subscribe(500*time.Millisecond, func(time.Time) { slow++ })
		time.Sleep(2*time.Second + Resolution/2)
		synctest.Wait()
		assert.Equal(t, fast, 100)
		assert.Equal(t, slow, 4)
		unsubscribe()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, slow, 4)
	})
}
