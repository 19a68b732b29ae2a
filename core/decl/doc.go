// Package decl holds what operators declare: services, targets, callers and an
// ordered list of when-then rules, written as INI and kept in version control.
//
// Parse checks a whole declaration and reports every fault with file, line and
// reason. A Set is immutable once parsed.
package decl
