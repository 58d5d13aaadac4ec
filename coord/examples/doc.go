// Package examples shows how other programs use the packages of this module. It contains
// the testable examples that docs/embedding.md quotes.
package examples
