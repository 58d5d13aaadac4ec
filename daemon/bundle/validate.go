package bundle

import (
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"path"
	"reflect"
	"regexp"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
)

// Problem is one reason why a bundle is invalid.
type Problem struct {
	// Path names the field, for example rollouts[1].steps.
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// ValidationError lists every problem that Validate found.
type ValidationError struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Path + ": " + p.Reason
	}
	return strings.Join(lines, "\n")
}

// nameForm excludes the separators of "model@version" and "service:name" and
// everything that needs escaping in store keys.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

var methodForm = regexp.MustCompile(`^(\*|[A-Z]+)$`)

// fieldRules returns the validator of single fields. Cross references are
// checked by own code, because they need the whole bundle.
var fieldRules = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	rules := map[string]func(string) bool{
		"name":      nameForm.MatchString,
		"method":    methodForm.MatchString,
		"pattern":   validPattern,
		"keyhash":   validKeyHash,
		"publickey": validPublicKey,
	}
	for tag, rule := range rules {
		check := func(f validator.FieldLevel) bool { return rule(f.Field().String()) }
		if err := v.RegisterValidation(tag, check); err != nil {
			panic(err)
		}
	}
	return v
})

func validPattern(s string) bool {
	_, err := path.Match(s, "/")
	return err == nil && strings.HasPrefix(s, "/")
}

func validKeyHash(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(raw) == 32 && s == strings.ToLower(s)
}

func validPublicKey(s string) bool {
	raw, err := base64.StdEncoding.DecodeString(s)
	return err == nil && len(raw) == 32
}

// Validate checks every field and cross reference. The error is a
// *ValidationError that names each problem. Signatures are not checked here.
func (b *Bundle) Validate() error {
	c := &checker{bundle: b}
	c.fields()
	c.models()
	c.services()
	c.rollouts()
	c.topology()
	c.workspaces()
	c.keys()
	if len(c.problems) == 0 {
		return nil
	}
	return &ValidationError{Problems: c.problems}
}

func (c *checker) fields() {
	err := fieldRules().Struct(c.bundle)
	found, _ := err.(validator.ValidationErrors)
	for _, f := range found {
		_, at, _ := strings.Cut(f.Namespace(), ".")
		c.add(reason(f), "%s", at)
	}
}

// reason words a failed field rule for people.
func reason(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "must be set"
	case "name":
		return fmt.Sprintf("%q must be 1 to 128 letters, digits, dots, underscores or hyphens", f.Value())
	case "oneof":
		return fmt.Sprintf("%q must be one of: %s", f.Value(), f.Param())
	case "gte":
		return fmt.Sprintf("%v must be at least %s", f.Value(), f.Param())
	case "lte":
		return fmt.Sprintf("%v must be at most %s", f.Value(), f.Param())
	case "min":
		return fmt.Sprintf("must have at least %s entry", f.Param())
	case "nefield":
		return fmt.Sprintf("must differ from %s", strings.ToLower(f.Param()))
	case "keyhash":
		return "must be a SHA-256 hash in lower-case hex"
	case "publickey":
		return "must be an Ed25519 public key in base64"
	case "pattern":
		return fmt.Sprintf("%q must start with / and be a pattern of path.Match", f.Value())
	case "method":
		return fmt.Sprintf("%q must be an upper-case HTTP method or *", f.Value())
	default:
		return "breaks rule " + f.Tag()
	}
}
