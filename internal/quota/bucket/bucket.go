// Package bucket limits the rate of an organisation's requests by a token bucket. The time is passed in.
package bucket

import (
	"math"
	"time"
)

// Bucket gains Rate tokens per second up to its capacity. The zero value is empty and gains nothing; Set configures it.
type Bucket struct {
	rate     float64
	capacity float64 // at least 1 once configured
	tokens   float64 // at most capacity
	at       time.Time
}

// Set changes the rate per second and the capacity from now on. Tokens above the capacity are removed.
func (b *Bucket) Set(now time.Time, rate, capacity float64) {
	b.advance(now)
	b.rate, b.capacity = rate, max(capacity, 1)
	b.tokens = min(b.tokens, b.capacity)
}

// Fill replaces the tokens.
func (b *Bucket) Fill(now time.Time, tokens float64) {
	b.advance(now)
	b.tokens = min(max(tokens, 0), b.capacity)
}

// Take removes up to wanted whole tokens and returns how many.
func (b *Bucket) Take(now time.Time, wanted int) int {
	b.advance(now)
	// Without the margin, a bucket that gains 0.1 tokens ten times would not hold a whole one.
	taken := min(max(wanted, 0), int(b.tokens+rounding))
	b.tokens = max(b.tokens-float64(taken), 0)
	return taken
}

const rounding = 1e-6

// Return adds tokens that were taken and not used.
func (b *Bucket) Return(now time.Time, tokens int) {
	b.advance(now)
	b.tokens = min(b.tokens+float64(max(tokens, 0)), b.capacity)
}

// Next returns the time until the bucket holds a whole token.
func (b *Bucket) Next(now time.Time) time.Duration {
	b.advance(now)
	missing := 1 - b.tokens
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 {
		return maxNext
	}
	return time.Duration(math.Ceil(min(missing/b.rate, maxNext.Seconds()) * float64(time.Second)))
}

// maxNext limits Next, because a duration cannot express the wait for a token at the smallest rates.
const maxNext = time.Hour

// Tokens returns the number of tokens.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.advance(now)
	return b.tokens
}

func (b *Bucket) advance(now time.Time) {
	if elapsed := now.Sub(b.at); !b.at.IsZero() && elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.rate, b.capacity)
	}
	if now.After(b.at) {
		b.at = now
	}
}
