// Package quarantine tells requests that crash the replicas which run them.
package quarantine
