//! Values that can be tightened: a meet semilattice. Each type defines what applies while two values may be in force.
//! If the result is one of the two, the other one is looser; if neither, they contradict each other. The names of the
//! types appear in the output of `tansyjunction accord diff`.

/// How a value changes from one version to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    Same,
    /// Acting on the new value violates nothing under the old one.
    Tighter,
    /// Acting on the old value violates nothing under the new one.
    Looser,
    /// Acting on either may violate the other.
    Contrary,
}

/// A value of which two versions may be in force at once.
pub trait Tighten: Clone + PartialEq {
    /// What applies while both may be in force: no looser than either, and independent of their order.
    fn meet(&self, other: &Self) -> Self;
}

/// Classifies a change.
pub fn classify<T: Tighten>(old: &T, new: &T) -> Class {
    let meet = old.meet(new);
    match (meet == *old, meet == *new) {
        (true, true) => Class::Same,
        (false, true) => Class::Tighter,
        (true, false) => Class::Looser,
        (false, false) => Class::Contrary,
    }
}

/// The smaller number is tighter.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Least(pub f64);

/// The larger number is tighter.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Most(pub f64);

/// A permission: `false` is tighter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permits(pub bool);

/// An enumeration in which later variants are tighter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Strictest<T>(pub T);

/// A fact that must agree: where two differ, the result is `None` and none may be acted on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agreed<T>(pub Option<T>);

/// A value without effect on any rule. The larger one is kept, so that the result does not depend on the order.
#[derive(Clone, Debug)]
pub struct Free<T>(pub T);

impl<T> PartialEq for Free<T> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Tighten for Least {
    fn meet(&self, other: &Self) -> Self {
        Least(self.0.min(other.0))
    }
}

impl Tighten for Most {
    fn meet(&self, other: &Self) -> Self {
        Most(self.0.max(other.0))
    }
}

impl Tighten for Permits {
    fn meet(&self, other: &Self) -> Self {
        Permits(self.0 && other.0)
    }
}

impl<T: Copy + Ord> Tighten for Strictest<T> {
    fn meet(&self, other: &Self) -> Self {
        (*self).max(*other)
    }
}

impl<T: Clone + PartialEq> Tighten for Agreed<T> {
    fn meet(&self, other: &Self) -> Self {
        if self == other { self.clone() } else { Agreed(None) }
    }
}

impl<T: Clone + PartialOrd> Tighten for Free<T> {
    fn meet(&self, other: &Self) -> Self {
        if self.0 >= other.0 { self.clone() } else { other.clone() }
    }
}
