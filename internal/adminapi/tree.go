package adminapi

import (
	"maps"
	"net/http"

	"github.com/teaselseam/teaselseam/internal/changelog"
	"github.com/teaselseam/teaselseam/internal/settings"
)

func (a *API) tree(r *http.Request, _ string) (any, error) {
	s, err := a.state()
	if err != nil {
		return nil, err
	}
	out := TreeResponse{Revision: s.TreeSeq}
	switch r.URL.Query().Get("format") {
	case "", "ini":
		out.INI = string(settings.Render(s.Tree))
	case "json":
		for _, b := range s.Tree.Sorted() {
			values, _ := s.Tree.Branch(b)
			out.Branches = append(out.Branches, BranchEdit{Branch: b.String(), Values: values})
		}
	default:
		return nil, badRequest("format is not ini or json")
	}
	return out, nil
}

// fileName is the name of the INI file for messages.
func (in *EditRequest) fileName() string {
	if in.File == "" {
		return "request"
	}
	return in.File
}

// edited returns the branches of a request with their new values.
func (in *EditRequest) edited() (map[settings.Branch]settings.Values, error) {
	file := in.fileName()
	branches, err := settings.ParseBranches(file, []byte(in.INI))
	if err != nil {
		return nil, err
	}
	for _, e := range in.Branches {
		b, err := settings.ParseBranch(e.Branch)
		if err != nil {
			return nil, settings.NewProblem(file, e.Branch, "", "", err.Error())
		}
		if _, twice := branches[b]; twice {
			return nil, settings.NewProblem(file, e.Branch, "", "", "branch occurs twice")
		}
		if err := settings.CheckBranch(file, b, e.Values); err != nil {
			return nil, err
		}
		branches[b] = e.Values
	}
	if len(branches) == 0 && !in.Whole {
		return nil, badRequest("edit has no branches")
	}
	return branches, nil
}

// against returns the branches that a request changes in a tree, and their new
// values.
func (in *EditRequest) against(t *settings.Tree, branches map[settings.Branch]settings.Values) map[settings.Branch]settings.Values {
	if !in.Whole {
		return branches
	}
	changed := map[settings.Branch]settings.Values{}
	for _, c := range settings.Diff(t, settings.TreeOf(branches)) {
		changed[c.Branch] = c.New
	}
	return changed
}

func (a *API) edit(r *http.Request, operator string) (any, error) {
	var in EditRequest
	if err := decode(r, &in); err != nil {
		return nil, err
	}
	operation, err := operationID(in.Operation)
	if err != nil {
		return nil, err
	}
	if in.Whole {
		return nil, badRequest("an edit names the branches that it changes; whole trees can be checked only")
	}
	branches, err := in.edited()
	if err != nil {
		return nil, err
	}
	result, err := a.commit(r, operator, operation, func(s *changelog.State) (changelog.Entry, error) {
		change, err := s.Edit(in.Base, branches)
		return changelog.Entry{Settings: change}, err
	})
	if err != nil {
		return nil, withOperation(err, operation)
	}
	if !sameEdit(result.Entry.Settings, in.Base, branches) {
		return nil, reused(operation)
	}
	return a.spread(r.Context(), result.Entry), nil
}

// sameEdit reports whether a committed change is the one asked for.
func sameEdit(c *changelog.SettingsChange, base int64, branches map[settings.Branch]settings.Values) bool {
	if c == nil || c.Base != base || len(c.Branches) != len(branches) {
		return false
	}
	for _, b := range c.Branches {
		values, ok := branches[b.Branch]
		if !ok || (values == nil) != (b.New == nil) || !maps.Equal(values, b.New) {
			return false
		}
	}
	return true
}

func reused(operation string) error {
	return &Error{Code: CodeOperationReused, Message: "operation ID was used for another change", Operation: operation}
}

// withOperation names the operation in an error, so that the client can ask
// again even if it did not choose the ID.
func withOperation(err error, operation string) error {
	e := errorOf(err)
	e.Operation = operation
	return e
}

func (a *API) check(r *http.Request, _ string) (any, error) {
	var in EditRequest
	if err := decode(r, &in); err != nil {
		return nil, err
	}
	s, err := a.state()
	if err != nil {
		return nil, err
	}
	branches, err := in.edited()
	if err != nil {
		return nil, err
	}
	updated := s.Tree
	for b, values := range in.against(s.Tree, branches) {
		updated = updated.With(b, values)
	}
	if err := updated.Validate(in.fileName()); err != nil {
		return nil, err
	}
	return CheckResponse{Revision: s.TreeSeq, Changes: settings.Diff(s.Tree, updated)}, nil
}

func (a *API) effective(r *http.Request, _ string) (any, error) {
	s, err := a.state()
	if err != nil {
		return nil, err
	}
	q := r.URL.Query()
	b, err := settings.ParseBranch(q.Get("kind") + " " + q.Get("name"))
	if err != nil {
		return nil, badRequest("%v", err)
	}
	_, own := s.Tree.Branch(b)
	return EffectiveResponse{Branch: b.String(), Revision: s.TreeSeq, Own: own, Values: s.Tree.Effective(b)}, nil
}
