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
	// Path is the path of the field, for example rollouts[1].steps.
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// ValidationError holds all problems that Validate found.
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

// namePattern excludes the separators of "model@version" and "service:name" and
// everything that needs escaping in store keys.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

var methodPattern = regexp.MustCompile(`^(\*|[A-Z]+)$`)

// fieldRules returns the validator of single fields. References between fields are
// checked by the methods of checker, because they depend on the whole bundle.
var fieldRules = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	rules := map[string]func(string) bool{
		"name":      namePattern.MatchString,
		"method":    methodPattern.MatchString,
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

// Validate checks every field and every reference between fields. The error is a
// *ValidationError that lists all problems. Validate does not verify signatures.
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
		c.add(failureReason(f), "%s", at)
	}
}

// failureReason describes a failed field rule to the operator.
func failureReason(f validator.FieldError) string {
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
		return fmt.Sprintf("%q must start with / and be a valid path.Match pattern", f.Value())
	case "method":
		return fmt.Sprintf("%q must be an upper-case HTTP method or *", f.Value())
	default:
		return "fails validation rule " + f.Tag()
	}
}
