// Package usagereporter reports the use of the platform by workspace. One entry, the holder,
// sends one report for each window to the platform. It writes each report to the platform's
// store before it sends it, so that the next holder repeats the report exactly, and so that
// an entry that has lost the role without noticing sends none.
//
// It handles the loss of the holder at any point, of responses, and of the state in the
// store after a restore; load conditions do not affect it.
package usagereporter

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
)

// Token is the fencing token of a holder. Its upper part is the era of the store in which
// the holder took over, so that tokens rise when a restore brings an older one back.
type Token int64

// eraShift is the number of bits of a token that count holders. Tokens stay below 1 << 53,
// which JSON parsers read exactly, for eras below 1 << 21.
const eraShift = 32

// next returns the token of the holder after the one with this token, in an era.
func (t Token) next(era int64) Token { return max(t+1, Token(era)<<eraShift+1) }

// era returns the era in which the token was given out.
func (t Token) era() int64 { return int64(t >> eraShift) }

// String returns the token in decimal.
func (t Token) String() string { return strconv.FormatInt(int64(t), 10) }

// Report is the report of one window: the number of requests by workspace.
type Report struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Record is the state in the store. It is immutable.
type Record struct {
	Holder string `json:"holder"`
	Token  Token  `json:"token"`
	// Forced reports that the holder took over from one that may be there.
	Forced bool `json:"forced,omitempty"`
	// Reported is the last window that gets no new report: it has been reported, it is
	// among Pending, or it was left out.
	Reported int64 `json:"reported"`
	// Pending are the reports that the holder may be sending, by window. They are not
	// changed once written.
	Pending []Report `json:"pending,omitempty"`
}

// supersedes reports whether the record is newer than another one.
func (r Record) supersedes(other Record) bool {
	return r.Token > other.Token || (r.Token == other.Token && r.Reported > other.Reported)
}

// exists reports whether the record is not the zero one.
func (r Record) exists() bool { return r.Token != 0 }

// withHolder returns the record with a holder, who repeats the pending reports.
func (r Record) withHolder(holder string, token Token) Record {
	r.Holder, r.Token, r.Forced = holder, token, false
	return r
}

// withForced returns the record of a holder that takes over from one that may be there.
func (r Record) withForced(forced bool) Record {
	r.Forced = forced
	return r
}

// withReported returns the record with windows left out up to one.
func (r Record) withReported(window int64) Record {
	r.Reported = max(r.Reported, window)
	return r
}

// withPending returns the record with new reports in place of those that have been sent.
func (r Record) withPending(reports []Report) Record {
	r.Pending = reports
	r.Reported = max(r.Reported, reports[len(reports)-1].Window)
	return r
}

// withoutPending returns the record without the pending reports of some windows.
func (r Record) withoutPending(windows map[int64]bool) Record {
	r.Pending = slices.DeleteFunc(slices.Clone(r.Pending), func(p Report) bool { return windows[p.Window] })
	return r
}

// Encode returns the value for the store.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord returns the record of a value. A missing value is the zero record.
func DecodeRecord(value []byte) (r Record, err error) {
	if len(value) == 0 {
		return Record{}, nil
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("record of usage reports: %w", err)
	}
	slices.SortFunc(r.Pending, func(a, b Report) int { return int(a.Window - b.Window) })
	return r, nil
}
