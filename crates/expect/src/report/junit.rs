//! Report as JUnit XML for build servers.

use quick_junit::{NonSuccessKind, Report as Xml, TestCase, TestCaseStatus, TestSuite};

use crate::check::{Report, Verdict};
use crate::report::{narrate, tally, why, word};
use crate::subject::Subject;

/// Renders the report.
pub fn junit(subject: &Subject, report: &Report) -> Result<String, String> {
    let mut suite = TestSuite::new(report.config.clone());
    let failure = |kind: &str, message: &str, text: String| {
        let mut status = TestCaseStatus::non_success(NonSuccessKind::Failure);
        status.set_type(kind).set_message(message).set_description(text);
        status
    };
    for one in &report.checked {
        let status = match why(one) {
            None => TestCaseStatus::success(),
            Some(why) => {
                let steps = match &one.verdict {
                    Verdict::Broken(found) => narrate(subject, &found.trail).join("\n"),
                    _ => String::new(),
                };
                failure(word(&one.verdict), &why, steps)
            }
        };
        let mut case = TestCase::new(one.name.clone(), status);
        case.set_classname("expectations").set_system_out(tally(&one.tally));
        suite.add_test_case(case);
    }
    for fault in &report.faults {
        let status = failure("contradicts", &fault.to_string(), String::new());
        let name = format!("{} {}", fault.section, fault.key);
        suite.add_test_case(TestCase::new(name.trim(), status));
    }
    let mut xml = Xml::new("tansyjunction expect");
    xml.add_test_suite(suite);
    xml.to_string().map_err(|error| error.to_string())
}
