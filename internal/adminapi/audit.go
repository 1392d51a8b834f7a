package adminapi

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/settings"
)

const (
	// maxAuditPage is the largest number of entries on a page.
	maxAuditPage = 500
	// maxAuditScans bounds the platform reads for one page, each of up to 500
	// entries, so that a filter that matches little does not read the whole log.
	maxAuditScans = 4
)

// auditQuery selects entries.
type auditQuery struct {
	after    int64
	limit    int
	branch   settings.Branch // zero: any entry
	from, to time.Time       // zero: no bound
}

func parseAuditQuery(r *http.Request) (auditQuery, error) {
	out := auditQuery{limit: maxAuditPage}
	q := r.URL.Query()
	var err error
	if v := q.Get("after"); v != "" {
		if out.after, err = strconv.ParseInt(v, 10, 64); err != nil || out.after < 0 {
			return out, badRequest("after is not a sequence number")
		}
	}
	if v := q.Get("limit"); v != "" {
		if out.limit, err = strconv.Atoi(v); err != nil || out.limit < 1 || out.limit > maxAuditPage {
			return out, badRequest("limit is not from 1 to %d", maxAuditPage)
		}
	}
	if v := q.Get("branch"); v != "" {
		if out.branch, err = settings.ParseBranch(v); err != nil {
			return out, badRequest("%v", err)
		}
	}
	for key, t := range map[string]*time.Time{"from": &out.from, "to": &out.to} {
		if v := q.Get(key); v != "" {
			if *t, err = time.Parse(time.RFC3339, v); err != nil {
				return out, badRequest("%s is not a time such as 2026-01-02T15:04:05Z", key)
			}
		}
	}
	return out, nil
}

// matches reports whether an entry is selected.
func (q *auditQuery) matches(e changelog.Entry) bool {
	if !q.from.IsZero() && e.Time.Before(q.from) || !q.to.IsZero() && !e.Time.Before(q.to) {
		return false
	}
	if q.branch == (settings.Branch{}) {
		return true
	}
	return e.Settings != nil && slices.ContainsFunc(e.Settings.Branches, func(c changelog.BranchChange) bool { return c.Branch == q.branch })
}

func (a *API) audit(r *http.Request, _ string) (any, error) {
	q, err := parseAuditQuery(r)
	if err != nil {
		return nil, err
	}
	out := AuditResponse{Entries: []changelog.Entry{}, Next: q.after}
	for range maxAuditScans {
		entries, err := a.changes.Read(r.Context(), out.Next)
		if err != nil {
			return nil, err
		}
		if len(entries) == 0 {
			out.Next = 0
			return out, nil
		}
		for _, e := range entries {
			if q.matches(e) {
				out.Entries = append(out.Entries, e)
			}
			out.Next = e.Seq
			if len(out.Entries) == q.limit {
				return out, nil
			}
		}
	}
	return out, nil
}
