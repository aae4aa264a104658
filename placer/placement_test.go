package placer

import (
	"math"
	"time"
)

func steady(a, b, c float64) func(int, time.Duration) float64 {
	return func(domain int, _ time.Duration) float64 { return [3]float64{a, b, c}[domain] }
}

// loads: 80 slots a domain, requests of 50 ms: 1600/s fills a domain.
func loads() map[string]load {
	large := load{instances: []int{30, 28, 28}, servers: []int{40, 40, 40}, slots: 2, strengths: []float64{1}, work: 50 * time.Millisecond, longShare: 0.7, objective: 500 * time.Millisecond, length: 20 * time.Second, perSecond: steady(400, 400, 400)}
	result := map[string]load{"calm": large}
	wave := large
	wave.perSecond = func(domain int, at time.Duration) float64 {
		return 800 * (1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/13+0.08*float64(domain))))
	}
	result["wave"] = wave
	uneven := large
	uneven.perSecond = steady(1400, 1120, 1120)
	result["uneven"] = uneven
	burst := large
	burst.perSecond = func(domain int, at time.Duration) float64 {
		if domain == 0 && at > 8*time.Second && at < 13*time.Second {
			return 1800
		}
		return 600
	}
	result["burst"] = burst
	global := large
	global.perSecond = func(domain int, at time.Duration) float64 {
		if at > 8*time.Second && at < 13*time.Second {
			return 1600
		}
		return 600
	}
	result["globalburst"] = global
	overload := large
	overload.work = 52 * time.Millisecond
	overload.perSecond = func(domain int, at time.Duration) float64 {
		wave := 1 + 0.3*math.Sin(2*math.Pi*(at.Seconds()/13+0.08*float64(domain)))
		if at > 8*time.Second && at < 13*time.Second {
			wave *= 3.2
		}
		return [3]float64{800, 660, 650}[domain] * wave
	}
	result["overload"] = overload
	peak := large
	peak.work = 50 * time.Millisecond
	peak.perSecond = func(domain int, at time.Duration) float64 {
		wave := 1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/13+0.1+0.08*float64(domain)))
		if at > 6*time.Second && at < 11*time.Second {
			wave *= 4
		}
		return [3]float64{594, 500, 490}[domain] * wave
	}
	result["peak"] = peak
	gone := large
	gone.perSecond, gone.lost, gone.lostAt = steady(900, 600, 600), 20, 8*time.Second
	result["gone"] = gone
	strengths := large
	strengths.strengths, strengths.perSecond = []float64{0.6, 1, 1.6}, steady(900, 900, 700)
	result["strengths"] = strengths
	hot := strengths
	hot.perSecond = steady(1200, 1200, 900)
	result["strengthshot"] = hot
	small := load{instances: []int{3, 2, 2}, servers: []int{5, 5, 4}, slots: 3, strengths: []float64{0.7, 0.7, 1.7}, work: 55 * time.Millisecond, objective: 250 * time.Millisecond, length: 30 * time.Second, perSecond: steady(130, 140, 122)}
	result["small"] = small
	tiny := small
	tiny.servers, tiny.strengths, tiny.perSecond = []int{2, 1, 1}, []float64{1}, steady(20, 22, 20)
	result["tiny"] = tiny
	return result
}
