// Package examples shows how other programs use the packages of this module. Its
// content is the testable examples that docs/embedding.md quotes.
package examples
