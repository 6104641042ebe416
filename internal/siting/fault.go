//go:build !broken

package siting

const broken = false
