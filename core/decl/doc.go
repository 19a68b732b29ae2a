// Package decl holds the declarations of operators: services, targets, callers and an
// ordered list of when-then rules, written as INI and kept in version control.
//
// Parse validates a complete declaration and reports every fault with file, line and
// reason. A Set is immutable once parsed.
package decl
