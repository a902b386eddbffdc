// Package route holds the routing configuration that operators publish: routes,
// services, limits and client accounts, compiled into a table that answers
// which route a request takes and whose key it bears. A Table is immutable.
package route
